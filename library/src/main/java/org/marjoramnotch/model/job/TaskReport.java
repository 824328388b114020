package org.marjoramnotch.model.job;

import org.marjoramnotch.model.identifier.TaskAttemptId;

/**
 * A worker's word that a run of a task has ended.
 *
 * @param attempt the run
 * @param end how it ended
 */
public record TaskReport(TaskAttemptId attempt, TaskEnd end) {}
