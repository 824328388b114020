package org.marjoramnotch.model.job;

/**
 * Counts and flags of a job.
 *
 * @param queued number of queued tasks
 * @param running number of running tasks
 * @param succeeded number of tasks that succeeded
 * @param failed number of tasks that failed
 * @param cancelled whether a caller cancelled the job
 * @param stopping whether no further task of the job may start
 * @param ran whether a run succeeded
 * @param mayHaveRun whether a run has ended that may have done work
 */
public record JobProgress(
        int queued,
        int running,
        int succeeded,
        int failed,
        boolean cancelled,
        boolean stopping,
        boolean ran,
        boolean mayHaveRun) {}
