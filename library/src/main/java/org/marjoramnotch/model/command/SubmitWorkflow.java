package org.marjoramnotch.model.command;

import org.marjoramnotch.model.workflow.Workflow;

/**
 * Submits a workflow; has no effect if its name is already taken.
 *
 * @param workflow the workflow
 * @param mostHeldBytes how many bytes all workflows may take with this one; 0 for no limit, as in
 *     commands of earlier releases
 */
public record SubmitWorkflow(Workflow workflow, long mostHeldBytes) implements WorkflowCommand {
    /** Submits a workflow without a limit. */
    public SubmitWorkflow(Workflow workflow) {
        this(workflow, 0);
    }
}
