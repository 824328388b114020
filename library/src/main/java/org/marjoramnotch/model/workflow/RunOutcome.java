package org.marjoramnotch.model.workflow;

/** How a run ended. */
public enum RunOutcome {
    /** The task completed its work. */
    DONE,
    /** The task failed, by its own fault or that of its worker. */
    FAILED,
    /** The run was stopped on request. */
    STOPPED,
    /** The lease of its worker expired, or the worker is gone. */
    LAPSED,
    /** Another member of its gang ended first. */
    BROKEN,
    /** The other members of its gang did not start in time. */
    ALONE,
    /** The worker did not start the run and will not start it. */
    NOT_STARTED
}
