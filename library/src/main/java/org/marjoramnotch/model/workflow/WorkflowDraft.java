package org.marjoramnotch.model.workflow;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/**
 * A workflow as submitted by a caller. The queue and the team follow from the path and the key of
 * the call.
 *
 * @param payload data passed to each task
 * @param steps the steps; each depends only on steps before it
 * @param recurrence when the steps run; empty to run them once and immediately
 */
public record WorkflowDraft(
        String payload, List<StepDefinition> steps, Optional<Recurrence> recurrence) {
    /**
     * Maximum number of tasks of a workflow over all occurrences; the ledger keeps a record of
     * each.
     */
    private static final int MAXIMUM_TASKS = 20_000;

    private static final int MAXIMUM_OCCURRENCES = 1_000;

    /** The critical path is calculated over all pairs of steps. */
    private static final int MAXIMUM_STEPS = 1_000;

    /**
     * Validates a draft and makes it immutable by copying the list.
     *
     * @throws MarjoramnotchException with {@code INVALID_REQUEST} if the steps or the recurrence
     *     are invalid
     */
    public WorkflowDraft {
        steps = List.copyOf(steps);
        int occurrences = recurrence.map(Recurrence::occurrences).orElse(1);
        if (steps.isEmpty() || occurrences < 1 || occurrences > MAXIMUM_OCCURRENCES) {
            throw invalid("A workflow must have steps and 1 to 1000 occurrences; correct it.");
        }
        if (steps.size() > MAXIMUM_STEPS) {
            throw invalid("A workflow may have at most 1000 steps; split it.");
        }
        long tasks = 0;
        for (int position = 0; position < steps.size(); position++) {
            StepDefinition step = steps.get(position);
            if (step.tasks() < 1) {
                throw invalid("A step must have at least one task; correct step " + position + ".");
            }
            for (int earlier : step.after()) {
                if (earlier < 0 || earlier >= position) {
                    throw invalid(
                            "A step may only depend on steps before it; correct step "
                                    + position
                                    + ".");
                }
            }
            tasks += step.tasks();
        }
        if (tasks * occurrences > MAXIMUM_TASKS) {
            throw invalid("A workflow may have at most 20000 tasks; split it.");
        }
    }

    private static MarjoramnotchException invalid(String message) {
        return new MarjoramnotchException(ErrorCode.INVALID_REQUEST, message);
    }
}
