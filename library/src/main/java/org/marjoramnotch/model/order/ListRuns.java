package org.marjoramnotch.model.order;

import java.util.OptionalLong;
import org.marjoramnotch.model.fleet.FleetWorker;

/**
 * Renews the lease of a worker and lists its runs. The worker answers once a run ends or the
 * waiting time is over.
 *
 * @param id the number of the call
 * @param worker the worker
 * @param fencingToken the fencing token of the sender
 * @param acknowledgedEnds number up to which the worker may discard ends
 * @param leaseUntil the time on the worker's clock until which the runs may continue; empty to
 *     leave the lease unchanged
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
