package org.marjoramnotch.model.message;

import org.marjoramnotch.model.job.WorkerDescription;

/**
 * Registers a worker that runs no tasks. The reply contains the epoch of the worker.
 *
 * @param description the description of the worker
 */
public record AnnounceWorker(WorkerDescription description) implements CellRequest {}
