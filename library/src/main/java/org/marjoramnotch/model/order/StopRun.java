package org.marjoramnotch.model.order;

import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.workflow.RunId;

/**
 * Stops a run, or prevents it from starting if it has not started yet.
 *
 * @param id the number of the call
 * @param worker the worker
 * @param fencingToken the fencing token of the sender
 * @param run the run
 */
public record StopRun(long id, FleetWorker worker, long fencingToken, RunId run)
        implements WorkerCall {}
