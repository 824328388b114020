package org.marjoramnotch.model.workflow;

import org.marjoramnotch.model.fleet.WorkerIncarnation;

/**
 * The decision to start a run on a worker.
 *
 * @param run the run
 * @param worker the worker, in this life of it
 * @param checkpoint what the run goes on from; empty for nothing
 */
public record RunPlacement(RunId run, WorkerIncarnation worker, String checkpoint) {}
