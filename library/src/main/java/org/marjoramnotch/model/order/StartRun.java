package org.marjoramnotch.model.order;

import java.util.Optional;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.workflow.RunId;

/**
 * Starts a run; of no further effect where the run already is.
 *
 * @param id the number of the call
 * @param worker the worker
 * @param fencingToken the sender's
 * @param run the run
 * @param payload what the workflow hands to its tasks
 * @param leaseUntil until when it may go on, on the worker's clock
 * @param checkpoint what it goes on from; empty for nothing
 * @param ticket of the placement advisor, if the queue needs one
 */
public record StartRun(
        long id,
        FleetWorker worker,
        long fencingToken,
        RunId run,
        String payload,
        long leaseUntil,
        String checkpoint,
        Optional<String> ticket)
        implements WorkerCall {}
