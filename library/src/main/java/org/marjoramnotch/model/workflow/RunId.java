package org.marjoramnotch.model.workflow;

/**
 * Identifies one run of a task; the members of a gang share the number.
 *
 * @param task the task
 * @param number the number of the run among those of the task, from 1
 */
public record RunId(WorkflowTaskId task, long number) {
    @Override
    public String toString() {
        return task + "/" + number;
    }
}
