package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.JobId;

/**
 * Gives up a workflow that can never be done.
 *
 * @param workflow the workflow
 * @param reason for people
 */
public record FailWorkflow(JobId workflow, String reason) implements WorkflowCommand {}
