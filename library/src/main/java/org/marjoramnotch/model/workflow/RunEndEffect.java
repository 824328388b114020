package org.marjoramnotch.model.workflow;

/** What the end of a run changed in the ledger, or why it changed nothing. */
public enum RunEndEffect {
    /** The run was running. */
    ENDED,
    /** Another member of its gang completed the work of all. */
    ENDED_WITH_GANG,
    /** The run was recorded as over without result, and no other run followed it. */
    COMPLETED,
    /** The run was recorded as over without result; its failure counts as an attempt. */
    FAILURE_COUNTED,
    /** No effect: the workflow is forgotten or has no such task. */
    UNKNOWN_TASK,
    /** No effect: the workflow has ended. */
    WORKFLOW_ENDED,
    /** No effect: no run with this or a higher number was started. */
    NEVER_STARTED,
    /** No effect: a later run of the task was started. */
    LATER_RUN,
    /** No effect: the run had ended, and this end does not complete the task. */
    ALREADY_ENDED,
    /** No effect: the task is complete. */
    TASK_COMPLETE,
    /** No effect: the run is on another worker or another incarnation of it. */
    OTHER_WORKER;

    /** Returns whether the end changed the ledger. */
    public boolean isEffective() {
        return this == ENDED
                || this == ENDED_WITH_GANG
                || this == COMPLETED
                || this == FAILURE_COUNTED;
    }
}
