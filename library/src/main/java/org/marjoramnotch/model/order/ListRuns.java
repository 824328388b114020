package org.marjoramnotch.model.order;

import java.util.OptionalLong;
import org.marjoramnotch.model.fleet.FleetWorker;

/**
 * Renews the lease of a worker and lists its runs, once one ends or the wait is over.
 *
 * @param id the number of the call
 * @param worker the worker
 * @param fencingToken the sender's
 * @param acknowledgedEnds ends up to this number may be forgotten
 * @param leaseUntil until when the runs may go on, on the worker's clock; empty to leave it
 * @param waitMilliseconds how long the worker may hold the answer
 */
public record ListRuns(
        long id,
        FleetWorker worker,
        long fencingToken,
        long acknowledgedEnds,
        OptionalLong leaseUntil,
        long waitMilliseconds)
        implements WorkerCall {}
