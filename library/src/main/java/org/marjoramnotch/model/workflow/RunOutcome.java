package org.marjoramnotch.model.workflow;

/** How a run ended. */
public enum RunOutcome {
    /** The task did its work. */
    DONE,
    /** The task failed, by its own fault or its worker's. */
    FAILED,
    /** It was told to stop. */
    STOPPED,
    /** The lease of its worker ran out, or the worker is gone. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not come. */
    ALONE,
    /** The worker did not start it and will not. */
    NOT_STARTED
}
