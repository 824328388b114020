package org.marjoramnotch.model.command;

import org.marjoramnotch.model.job.WorkerDescription;

/**
 * Registers a worker under a new fencing epoch; ends all runs of the epoch before.
 *
 * @param description what it announced
 */
public record RegisterWorker(WorkerDescription description) implements Command {}
