package org.marjoramnotch.model.message;

import java.util.Objects;
import java.util.Optional;
import org.marjoramnotch.model.workflow.WorkflowState;

/**
 * The state of a workflow.
 *
 * @param state the state
 * @param reason why it was or will be given up as it can never be done; absent in replies of
 *     earlier releases
 */
public record WorkflowAnswer(WorkflowState state, Optional<String> reason) implements CellReply {
    /** Replaces the absent reason in a reply of an earlier release by an empty one. */
    public WorkflowAnswer {
        reason = Objects.requireNonNullElse(reason, Optional.empty());
    }
}
