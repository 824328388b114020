package org.marjoramnotch.model.message;

import java.util.OptionalLong;
import org.marjoramnotch.model.identifier.WorkerId;

/**
 * A worker tells that it ends.
 *
 * @param worker the worker
 * @param startedEpochMilliseconds the life that ends; empty if not told
 */
public record ReleaseWorker(WorkerId worker, OptionalLong startedEpochMilliseconds)
        implements WorkflowRequest {}
