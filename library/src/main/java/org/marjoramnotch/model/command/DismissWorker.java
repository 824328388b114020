package org.marjoramnotch.model.command;

import org.marjoramnotch.model.fleet.WorkerIncarnation;

/**
 * Forgets a worker that is gone for good; its runs are lapsed.
 *
 * @param worker the life of the worker
 */
public record DismissWorker(WorkerIncarnation worker) implements WorkflowCommand {}
