package org.marjoramnotch.model.message;

import org.marjoramnotch.model.job.WorkerDescription;

/**
 * Registers a worker that runs nothing; answered with its epoch.
 *
 * @param description what it is
 */
public record AnnounceWorker(WorkerDescription description) implements CellRequest {}
