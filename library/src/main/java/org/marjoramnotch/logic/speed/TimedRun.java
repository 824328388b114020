package org.marjoramnotch.logic.speed;

import org.marjoramnotch.model.identifier.WorkerId;

/**
 * The run time of a task on a worker.
 *
 * @param worker the worker
 * @param kind the kind of the worker; empty if it has none
 * @param logRunTime the natural logarithm of the run time in milliseconds
 */
public record TimedRun(WorkerId worker, String kind, double logRunTime) {}
