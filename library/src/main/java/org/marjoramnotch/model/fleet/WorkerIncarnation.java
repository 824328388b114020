package org.marjoramnotch.model.fleet;

import org.marjoramnotch.model.identifier.WorkerId;

/**
 * One life of a worker.
 *
 * @param worker the worker
 * @param startedEpochMilliseconds when this life began, since 1970; a later life is higher
 */
public record WorkerIncarnation(WorkerId worker, long startedEpochMilliseconds) {}
