package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.WorkerId;

/**
 * Where a run of a task is to start.
 *
 * @param attempt the run
 * @param worker the worker
 * @param epoch the fencing epoch that the worker must still have
 */
public record TaskPlacement(TaskAttemptId attempt, WorkerId worker, long epoch) {}
