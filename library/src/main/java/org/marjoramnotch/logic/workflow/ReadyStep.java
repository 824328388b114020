package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.model.workflow.StepId;

/**
 * A step whose tasks may start.
 *
 * @param workflow the workflow
 * @param id the identifier of the step
 * @param tasks its tasks
 * @param dueAt when the latency objective ends, in the leader's time
 * @param latestStart when the remaining critical path must begin to meet the objective, in the
 *     leader's time
 * @param objectiveMilliseconds the latency objective
 */
record ReadyStep(
        WorkflowEntry workflow,
        StepId id,
        StepTasks tasks,
        long dueAt,
        long latestStart,
        long objectiveMilliseconds) {
    /** Queues with a smaller stretch leave no time for slow workers. */
    private static final double TIGHT_STRETCH = 2;

    /**
     * Returns whether the queue of the step allows less than twice the length of the critical path.
     */
    boolean hasTightObjective() {
        return workflow.queue().stretch() < TIGHT_STRETCH;
    }
}
