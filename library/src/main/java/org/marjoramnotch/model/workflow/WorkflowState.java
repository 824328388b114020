package org.marjoramnotch.model.workflow;

/** Where a workflow stands. */
public enum WorkflowState {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks are done. */
    COMPLETE,
    /** A task failed as often as its queue allows, or can never run. */
    FAILED,
    /** It was withdrawn. */
    CANCELLED;

    /** Tells whether nothing of the workflow starts any more. */
    public boolean isFinal() {
        return this == COMPLETE || this == FAILED || this == CANCELLED;
    }
}
