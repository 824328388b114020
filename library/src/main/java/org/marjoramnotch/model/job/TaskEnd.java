package org.marjoramnotch.model.job;

/** How one run of a task ended. */
public enum TaskEnd {
    /** It ended well. */
    SUCCEEDED,
    /** It ended badly. */
    FAILED,
    /** It was stopped on request. */
    STOPPED,
    /** Its worker refused it before it started. */
    NOT_STARTED,
    /** Its worker's lease ran out, so that it stopped itself. */
    LEASE_EXPIRED
}
