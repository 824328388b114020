package org.marjoramnotch.model.message;

/**
 * Asks where a workflow stands, or how many of a queue wait if the path names none.
 *
 * @param target the queue and the name of the workflow
 */
public record ReadWorkflow(CallTarget target) implements WorkflowRequest {}
