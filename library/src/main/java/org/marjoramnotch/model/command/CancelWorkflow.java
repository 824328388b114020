package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.JobId;

/**
 * Cancels a workflow; none of its tasks starts afterwards.
 *
 * @param workflow the workflow
 */
public record CancelWorkflow(JobId workflow) implements WorkflowCommand {}
