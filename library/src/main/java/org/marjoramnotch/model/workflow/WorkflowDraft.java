package org.marjoramnotch.model.workflow;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/**
 * What a caller hands in; queue and team follow from the path and the key of the call.
 *
 * @param payload handed to each task
 * @param steps the steps; each follows only steps before it
 * @param recurrence the times at which the steps run; empty for once, at once
 */
public record WorkflowDraft(
        String payload, List<StepDefinition> steps, Optional<Recurrence> recurrence) {
    /** Most tasks of a workflow over all occurrences; the ledger keeps a record of each. */
    private static final int MAXIMUM_TASKS = 20_000;

    private static final int MAXIMUM_OCCURRENCES = 1_000;

    /**
     * Checks a draft and copies the list, so that it stays as it is.
     *
     * @throws MarjoramnotchException with {@code INVALID_REQUEST}
     */
    public WorkflowDraft {
        steps = List.copyOf(steps);
        int occurrences = recurrence.map(Recurrence::occurrences).orElse(1);
        if (steps.isEmpty() || occurrences < 1 || occurrences > MAXIMUM_OCCURRENCES) {
            throw invalid("A workflow has steps and 1 to 1000 occurrences; correct it.");
        }
        long tasks = 0;
        for (int position = 0; position < steps.size(); position++) {
            StepDefinition step = steps.get(position);
            if (step.tasks() < 1) {
                throw invalid("A step has at least one task; correct step " + position + ".");
            }
            for (int earlier : step.after()) {
                if (earlier < 0 || earlier >= position) {
                    throw invalid(
                            "A step follows only steps before it; correct step " + position + ".");
                }
            }
            tasks += step.tasks();
        }
        if (tasks * occurrences > MAXIMUM_TASKS) {
            throw invalid("A workflow has at most 20000 tasks; split it.");
        }
    }

    private static MarjoramnotchException invalid(String message) {
        return new MarjoramnotchException(ErrorCode.INVALID_REQUEST, message);
    }
}
