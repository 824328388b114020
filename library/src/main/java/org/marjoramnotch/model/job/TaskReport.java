package org.marjoramnotch.model.job;

import org.marjoramnotch.model.identifier.TaskAttemptId;

/**
 * Report of a worker that a run of a task has ended.
 *
 * @param attempt the run
 * @param end how the run ended
 */
public record TaskReport(TaskAttemptId attempt, TaskEnd end) {}
