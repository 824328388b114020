package org.marjoramnotch.model.message;

import java.util.OptionalLong;
import org.marjoramnotch.model.identifier.WorkerId;

/**
 * Reports that a worker is shutting down.
 *
 * @param worker the worker
 * @param startedEpochMilliseconds start time of the worker process that is shutting down, in
 *     milliseconds since 1970; empty if not reported
 * @param receivedEpochMilliseconds when a process of the cell read the report, in milliseconds
 *     since 1970; empty in messages of earlier releases
 */
public record ReleaseWorker(
        WorkerId worker,
        OptionalLong startedEpochMilliseconds,
        OptionalLong receivedEpochMilliseconds)
        implements WorkflowRequest {
    /** Creates a report without the time of its arrival. */
    public ReleaseWorker(WorkerId worker, OptionalLong startedEpochMilliseconds) {
        this(worker, startedEpochMilliseconds, OptionalLong.empty());
    }
}
