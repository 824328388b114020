package org.marjoramnotch.model.job;

import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.JobId;

/**
 * The status of a job as reported to callers.
 *
 * @param job the job
 * @param state the state of the job
 * @param outcome whether any work of the job was done
 * @param queued number of queued tasks
 * @param running number of running tasks
 * @param succeeded number of tasks that succeeded
 * @param failed number of tasks that failed
 */
public record JobStatus(
        JobId job,
        JobState state,
        ExecutionOutcome outcome,
        int queued,
        int running,
        int succeeded,
        int failed) {}
