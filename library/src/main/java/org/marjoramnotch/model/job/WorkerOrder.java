package org.marjoramnotch.model.job;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.resource.Resources;

/** What a worker is told to do; repeated until its renewals show the effect. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = WorkerOrder.Start.class, name = "start"),
    @JsonSubTypes.Type(value = WorkerOrder.Stop.class, name = "stop"),
    @JsonSubTypes.Type(value = WorkerOrder.Checkpoint.class, name = "checkpoint"),
    @JsonSubTypes.Type(value = WorkerOrder.Throttle.class, name = "throttle")
})
public sealed interface WorkerOrder {
    /** Returns the run that the order is about. */
    TaskAttemptId attempt();

    /**
     * Starts a run; refused by a worker whose epoch differs.
     *
     * @param attempt the run
     * @param epoch the fencing epoch of the worker's lease
     * @param reserved what the run may use
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
     * Saves the state of a run so that it can go on elsewhere, then stops it.
     *
     * @param attempt the run
     */
    record Checkpoint(TaskAttemptId attempt) implements WorkerOrder {}

    /**
     * Slows a run down.
     *
     * @param attempt the run
     * @param processorMillis thousandths of a processor that it may use
     */
    record Throttle(TaskAttemptId attempt, long processorMillis) implements WorkerOrder {}
}
