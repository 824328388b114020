package org.marjoramnotch.model.command;

import org.marjoramnotch.model.workflow.Workflow;

/**
 * Submits a workflow; has no effect if its name is already taken.
 *
 * @param workflow the workflow
 */
public record SubmitWorkflow(Workflow workflow) implements WorkflowCommand {}
