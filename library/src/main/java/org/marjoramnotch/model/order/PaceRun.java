package org.marjoramnotch.model.order;

import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.workflow.RunId;

/**
 * Limits a run to a percentage of its full speed.
 *
 * @param id the number of the call
 * @param worker the worker
 * @param fencingToken the fencing token of the sender
 * @param run the run
 * @param percent the percentage, from 0 to 100
 */
public record PaceRun(long id, FleetWorker worker, long fencingToken, RunId run, int percent)
        implements WorkerCall {}
