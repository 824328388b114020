package org.marjoramnotch.model.message;

import org.marjoramnotch.model.workflow.WorkflowDraft;

/**
 * Hands a workflow in.
 *
 * @param target the queue and the name of the workflow
 * @param draft what is to be done
 */
public record SubmitWorkflowRequest(CallTarget target, WorkflowDraft draft)
        implements WorkflowRequest {}
