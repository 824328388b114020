package org.marjoramnotch.model.error;

/** States whether the work of a request was done; never claims more than is known. */
public enum ExecutionOutcome {
    /** The work was not started and will not be. */
    NOT_RUN,
    /** The work may have been done. */
    UNKNOWN,
    /** The work was done. */
    RAN
}
