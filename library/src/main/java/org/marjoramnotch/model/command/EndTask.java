package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.job.TaskEnd;

/**
 * Ends a run of a task and frees its resources; has no effect if the run is not the current one.
 *
 * @param attempt the run
 * @param end how it ended
 */
public record EndTask(TaskAttemptId attempt, TaskEnd end) implements Command {}
