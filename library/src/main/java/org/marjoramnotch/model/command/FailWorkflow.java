package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.JobId;

/**
 * Marks a workflow that can never complete as failed.
 *
 * @param workflow the workflow
 * @param reason the reason in human-readable form
 */
public record FailWorkflow(JobId workflow, String reason) implements WorkflowCommand {}
