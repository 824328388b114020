package org.marjoramnotch.model.workflow;

import org.marjoramnotch.model.identifier.JobId;

/**
 * Identifies a step in one occurrence of a workflow.
 *
 * @param workflow the workflow
 * @param occurrence the occurrence, from 0
 * @param step the position of the step, from 0
 */
public record StepId(JobId workflow, int occurrence, int step) {
    @Override
    public String toString() {
        return workflow + "." + occurrence + "." + step;
    }
}
