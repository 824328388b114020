package org.marjoramnotch.model.order;

import java.util.Optional;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.workflow.RunId;

/**
 * Starts a run. Has no further effect if the worker already has the run.
 *
 * @param id the number of the call
 * @param worker the worker
 * @param fencingToken the fencing token of the sender
 * @param run the run
 * @param payload the payload that the workflow passes to its tasks
 * @param leaseUntil the time on the worker's clock until which the run may continue
 * @param checkpoint the checkpoint to resume from; empty to start from the beginning
 * @param ticket the ticket of the placement advisor, if the queue needs one
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
