package org.marjoramnotch.model.workflow;

import java.util.List;
import java.util.Optional;

/**
 * What a caller hands in; queue and team follow from the path and the key of the call.
 *
 * @param payload handed to each task
 * @param steps the steps; each follows only steps before it
 * @param recurrence the times at which the steps run; empty for once, at once
 */
public record WorkflowDraft(
        String payload, List<StepDefinition> steps, Optional<Recurrence> recurrence) {
    /** Copies the list, so that the draft stays as it is. */
    public WorkflowDraft {
        steps = List.copyOf(steps);
    }
}
