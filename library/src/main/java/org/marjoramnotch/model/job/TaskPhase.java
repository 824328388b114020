package org.marjoramnotch.model.job;

/** Phase of a single task of a job. */
public enum TaskPhase {
    /** Waits for a worker. */
    QUEUED,
    /** Holds resources of a worker. */
    RUNNING,
    /** Succeeded. */
    SUCCEEDED,
    /** Failed, and is not run again. */
    FAILED,
    /** Cancelled because its job was stopped. */
    CANCELLED
}
