package org.marjoramnotch.model.job;

/**
 * Counts and flags of a job.
 *
 * @param queued tasks that wait
 * @param running tasks that run
 * @param succeeded tasks that ended well
 * @param failed tasks that ended badly
 * @param cancelled whether a caller cancelled it
 * @param stopping whether no further task of it may start
 * @param ran whether a run ended well
 * @param mayHaveRun whether a run ended that may have done work
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
