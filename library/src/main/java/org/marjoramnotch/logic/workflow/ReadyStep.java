package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.model.workflow.StepId;

/**
 * A step whose tasks may start.
 *
 * @param workflow the workflow
 * @param id the step
 * @param tasks its tasks
 * @param dueAt the end of the latency objective, in the leader's time
 * @param latestStart when the remaining chain must begin to end in time
 * @param objectiveMilliseconds the latency objective
 */
record ReadyStep(
        WorkflowEntry workflow,
        StepId id,
        StepTasks tasks,
        long dueAt,
        long latestStart,
        long objectiveMilliseconds) {}
