package org.marjoramnotch.model.workflow;

import java.util.List;
import org.marjoramnotch.model.fleet.QueueDefinition;

/**
 * A workflow in a snapshot.
 *
 * @param workflow the workflow; without steps once it has ended and nothing of it runs
 * @param queue the terms of its queue when they were last known
 * @param state where it stands
 * @param tasks its tasks by occurrence, step and index; empty as the steps are
 */
public record WorkflowRecord(
        Workflow workflow,
        QueueDefinition queue,
        WorkflowState state,
        List<List<List<TaskRecord>>> tasks) {}
