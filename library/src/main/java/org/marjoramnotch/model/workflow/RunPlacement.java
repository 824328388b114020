package org.marjoramnotch.model.workflow;

import org.marjoramnotch.model.fleet.WorkerIncarnation;

/**
 * The decision to start a run on a worker.
 *
 * @param run the run
 * @param worker the incarnation of the worker
 * @param checkpoint the checkpoint that the run resumes from; empty if there is none
 */
public record RunPlacement(RunId run, WorkerIncarnation worker, String checkpoint) {}
