package org.marjoramnotch.model.message;

import org.marjoramnotch.model.workflow.WorkflowState;

/**
 * Where a workflow stands.
 *
 * @param state its state
 */
public record WorkflowAnswer(WorkflowState state) implements CellReply {}
