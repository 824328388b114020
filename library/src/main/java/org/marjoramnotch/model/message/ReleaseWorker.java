package org.marjoramnotch.model.message;

import java.util.OptionalLong;
import org.marjoramnotch.model.identifier.WorkerId;

/**
 * Reports that a worker is shutting down.
 *
 * @param worker the worker
 * @param startedEpochMilliseconds start time of the worker process that is shutting down, in
 *     milliseconds since 1970; empty if not reported
 */
public record ReleaseWorker(WorkerId worker, OptionalLong startedEpochMilliseconds)
        implements WorkflowRequest {}
