package org.marjoramnotch.model.job;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.resource.Resources;

/** An order to a worker. Orders are repeated until the renewals of the worker show their effect. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = WorkerOrder.Start.class, name = "start"),
    @JsonSubTypes.Type(value = WorkerOrder.Stop.class, name = "stop"),
    @JsonSubTypes.Type(value = WorkerOrder.Checkpoint.class, name = "checkpoint"),
    @JsonSubTypes.Type(value = WorkerOrder.Throttle.class, name = "throttle")
})
public sealed interface WorkerOrder {
    /** Returns the run that the order applies to. */
    TaskAttemptId attempt();

    /**
     * Starts a run. A worker with another epoch refuses the order.
     *
     * @param attempt the run
     * @param epoch the fencing epoch of the worker's lease
     * @param reserved the resources that the run may use
     * @param payload the job's payload
     */
    record Start(TaskAttemptId attempt, long epoch, Resources reserved, String payload)
            implements WorkerOrder {}

    /**
     * Stops a run.
     *
     * @param attempt the run
     */
    record Stop(TaskAttemptId attempt) implements WorkerOrder {}

    /**
     * Saves the state of a run, so that it can continue on another worker, and then stops it.
     *
     * @param attempt the run
     */
    record Checkpoint(TaskAttemptId attempt) implements WorkerOrder {}

    /**
     * Limits the processor time of a run.
     *
     * @param attempt the run
     * @param processorMillis thousandths of a processor that the run may use
     */
    record Throttle(TaskAttemptId attempt, long processorMillis) implements WorkerOrder {}
}
