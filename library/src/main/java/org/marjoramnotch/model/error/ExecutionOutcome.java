package org.marjoramnotch.model.error;

/** Whether the work of a request was done. {@link #UNKNOWN} is used whenever this is uncertain. */
public enum ExecutionOutcome {
    /** The work was not started and will not be. */
    NOT_RUN,
    /** The work may have been done. */
    UNKNOWN,
    /** The work was done. */
    RAN
}
