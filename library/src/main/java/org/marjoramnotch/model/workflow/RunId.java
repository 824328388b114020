package org.marjoramnotch.model.workflow;

/**
 * Names one run of a task; the members of a gang share the number.
 *
 * @param task the task
 * @param number counts the runs of the task, from 1
 */
public record RunId(WorkflowTaskId task, long number) {
    @Override
    public String toString() {
        return task + "/" + number;
    }
}
