package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.job.TaskEnd;

/**
 * Ends a run of a task and frees what it holds; a no-op when the run is not current.
 *
 * @param attempt the run
 * @param end how it ended
 */
public record EndTask(TaskAttemptId attempt, TaskEnd end) implements Command {}
