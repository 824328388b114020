package org.marjoramnotch.model.command;

import org.marjoramnotch.model.fleet.WorkerIncarnation;

/**
 * Removes a worker that is permanently gone; its runs lapse.
 *
 * @param worker the incarnation of the worker
 */
public record DismissWorker(WorkerIncarnation worker) implements WorkflowCommand {}
