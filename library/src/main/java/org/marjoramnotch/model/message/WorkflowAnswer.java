package org.marjoramnotch.model.message;

import org.marjoramnotch.model.workflow.WorkflowState;

/**
 * The state of a workflow.
 *
 * @param state the state
 */
public record WorkflowAnswer(WorkflowState state) implements CellReply {}
