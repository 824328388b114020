package org.marjoramnotch.logic.workflow;

/** How a leader learned of the end of a run, for logs and metrics. */
public enum RunEndSource {
    /** The worker's list shows the end. */
    LIST,
    /** The worker's list shows neither the run nor its end. */
    NOT_IN_LIST,
    /** The worker refused the start. */
    REFUSAL,
    /** The worker's lease is over. */
    LEASE_OVER,
    /** The worker was dismissed. */
    WORKER_DISMISSED,
    /** The next incarnation of the worker enrolled. */
    NEXT_LIFE,
    /** Another member of the gang completed its work. */
    GANG,
    /** This leader did not propose the end. */
    OTHER_LEADER
}
