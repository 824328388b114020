package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.JobId;

/**
 * Withdraws a workflow; nothing of it starts afterwards.
 *
 * @param workflow the workflow
 */
public record CancelWorkflow(JobId workflow) implements WorkflowCommand {}
