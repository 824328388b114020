package org.marjoramnotch.model.job;

/** Where a job stands. */
public enum JobState {
    QUEUED,
    RUNNING,
    SUCCEEDED,
    FAILED,
    CANCELLED
}
