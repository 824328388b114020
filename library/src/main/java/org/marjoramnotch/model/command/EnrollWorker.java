package org.marjoramnotch.model.command;

import org.marjoramnotch.model.fleet.FleetWorker;

/**
 * Enrolls a worker or updates its condition. Runs of an earlier incarnation of the worker lapse.
 *
 * @param worker the worker
 */
public record EnrollWorker(FleetWorker worker) implements WorkflowCommand {}
