package org.marjoramnotch.model.workflow;

import java.util.List;
import org.marjoramnotch.model.fleet.QueueDefinition;

/**
 * A workflow in a snapshot.
 *
 * @param workflow the workflow; without payload and steps once it has ended and none of its runs is
 *     left
 * @param queue the last known definition of its queue
 * @param state the state of the workflow
 * @param tasks its tasks by occurrence, step and index; empty if the workflow no longer has steps
 */
public record WorkflowRecord(
        Workflow workflow,
        QueueDefinition queue,
        WorkflowState state,
        List<List<List<TaskRecord>>> tasks) {}
