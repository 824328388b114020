package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.WorkerId;

/**
 * The placement of one run of a task on a worker.
 *
 * @param attempt the run
 * @param worker the worker
 * @param epoch the fencing epoch that the worker must still have
 */
public record TaskPlacement(TaskAttemptId attempt, WorkerId worker, long epoch) {}
