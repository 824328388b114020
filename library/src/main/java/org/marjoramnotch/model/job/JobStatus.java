package org.marjoramnotch.model.job;

import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.JobId;

/**
 * What a caller is told of a job.
 *
 * @param job the job
 * @param state where it stands
 * @param outcome whether any of its work was done
 * @param queued tasks that wait
 * @param running tasks that run
 * @param succeeded tasks that ended well
 * @param failed tasks that ended badly
 */
public record JobStatus(
        JobId job,
        JobState state,
        ExecutionOutcome outcome,
        int queued,
        int running,
        int succeeded,
        int failed) {}
