package org.marjoramnotch.model.workflow;

import java.util.Optional;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.JobId;

/**
 * Identifies a task of a workflow.
 *
 * @param step its step
 * @param index its position in the step, from 0
 */
public record WorkflowTaskId(StepId step, int index) {
    private static final int PARTS = 4;

    /**
     * Parses the text form of an identifier, such as {@code 5c0e7a21d94b36f8.0.1.17}; empty if the
     * text is malformed.
     */
    public static Optional<WorkflowTaskId> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            StepId step =
                    new StepId(
                            new JobId(parts[0]),
                            Integer.parseInt(parts[1]),
                            Integer.parseInt(parts[2]));
            return Optional.of(new WorkflowTaskId(step, Integer.parseInt(parts[PARTS - 1])));
        } catch (NumberFormatException | MarjoramnotchException unreadable) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return step + "." + index;
    }
}
