package org.marjoramnotch.model.workflow;

/** The state of a workflow. */
public enum WorkflowState {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks are done. */
    COMPLETE,
    /** A task has failed as often as the queue allows, or can never run. */
    FAILED,
    /** The workflow was cancelled by a caller. */
    CANCELLED;

    /** Returns whether the workflow has ended, so that no more of its tasks are started. */
    public boolean isFinal() {
        return this == COMPLETE || this == FAILED || this == CANCELLED;
    }
}
