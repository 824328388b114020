package org.marjoramnotch.model.message;

/**
 * Cancels a workflow.
 *
 * @param target the queue and name of the workflow
 */
public record CancelWorkflowRequest(CallTarget target) implements WorkflowRequest {}
