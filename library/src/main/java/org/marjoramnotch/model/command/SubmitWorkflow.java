package org.marjoramnotch.model.command;

import org.marjoramnotch.model.workflow.Workflow;

/**
 * Accepts a workflow; of no further effect if its name is taken.
 *
 * @param workflow the workflow
 */
public record SubmitWorkflow(Workflow workflow) implements WorkflowCommand {}
