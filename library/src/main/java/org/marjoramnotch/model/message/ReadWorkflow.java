package org.marjoramnotch.model.message;

/**
 * Reads the state of a workflow or, if the target names none, the number of waiting workflows of a
 * queue.
 *
 * @param target the queue and name of the workflow
 */
public record ReadWorkflow(CallTarget target) implements WorkflowRequest {}
