package org.marjoramnotch.model.order;

import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.workflow.RunId;

/**
 * Lets a run work at a part of its speed.
 *
 * @param id the number of the call
 * @param worker the worker
 * @param fencingToken the sender's
 * @param run the run
 * @param percent the part, from 0 to 100
 */
public record PaceRun(long id, FleetWorker worker, long fencingToken, RunId run, int percent)
        implements WorkerCall {}
