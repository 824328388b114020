package org.marjoramnotch.model.order;

import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.workflow.RunId;

/**
 * Stops a run, and shuts it out if it has not begun.
 *
 * @param id the number of the call
 * @param worker the worker
 * @param fencingToken the sender's
 * @param run the run
 */
public record StopRun(long id, FleetWorker worker, long fencingToken, RunId run)
        implements WorkerCall {}
