package org.marjoramnotch.model.job;

/** Where a single task of a job stands. */
public enum TaskPhase {
    /** Waits for a worker. */
    QUEUED,
    /** Holds resources of a worker. */
    RUNNING,
    /** Ended well. */
    SUCCEEDED,
    /** Ended badly and is not run again. */
    FAILED,
    /** Ended because its job was stopped. */
    CANCELLED
}
