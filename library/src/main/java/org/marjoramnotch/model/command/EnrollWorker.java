package org.marjoramnotch.model.command;

import org.marjoramnotch.model.fleet.FleetWorker;

/**
 * Takes a worker in, or its new condition. Runs of an earlier life of it are lapsed.
 *
 * @param worker the worker
 */
public record EnrollWorker(FleetWorker worker) implements WorkflowCommand {}
