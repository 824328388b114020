package org.marjoramnotch.model.message;

/**
 * Withdraws a workflow.
 *
 * @param target the queue and the name of the workflow
 */
public record CancelWorkflowRequest(CallTarget target) implements WorkflowRequest {}
