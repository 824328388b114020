package org.marjoramnotch.model.message;

import org.marjoramnotch.model.workflow.WorkflowDraft;

/**
 * Submits a workflow.
 *
 * @param target the queue and name of the workflow
 * @param draft the workflow to run
 */
public record SubmitWorkflowRequest(CallTarget target, WorkflowDraft draft)
        implements WorkflowRequest {}
