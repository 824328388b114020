package org.marjoramnotch.model.command;

import org.marjoramnotch.model.job.WorkerDescription;

/**
 * Registers a worker under a new fencing epoch; ends all runs of the previous epoch.
 *
 * @param description the description that the worker announced
 */
public record RegisterWorker(WorkerDescription description) implements Command {}
