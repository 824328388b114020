package org.marjoramnotch.model.fleet;

import org.marjoramnotch.model.identifier.WorkerId;

/**
 * An incarnation of a worker, which begins with each of its starts.
 *
 * @param worker the worker
 * @param startedEpochMilliseconds when the incarnation started, in Unix time; later incarnations
 *     have higher values
 */
public record WorkerIncarnation(WorkerId worker, long startedEpochMilliseconds) {}
