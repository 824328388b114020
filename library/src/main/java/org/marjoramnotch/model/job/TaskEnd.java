package org.marjoramnotch.model.job;

/** How a run of a task ended. */
public enum TaskEnd {
    /** The run succeeded. */
    SUCCEEDED,
    /** The run failed. */
    FAILED,
    /** The run was stopped on request. */
    STOPPED,
    /** The worker refused the run before it started. */
    NOT_STARTED,
    /** The lease of the worker expired, so the worker stopped the run by itself. */
    LEASE_EXPIRED
}
