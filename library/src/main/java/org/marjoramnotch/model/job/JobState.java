package org.marjoramnotch.model.job;

/** State of a job. */
public enum JobState {
    QUEUED,
    RUNNING,
    SUCCEEDED,
    FAILED,
    CANCELLED
}
