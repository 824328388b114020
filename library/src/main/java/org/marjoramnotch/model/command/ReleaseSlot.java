package org.marjoramnotch.model.command;

import java.util.Optional;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.AttemptId;

/**
 * Frees what an attempt holds; a no-op when it holds nothing.
 *
 * @param attempt the attempt
 * @param outcome whether the work was done
 * @param answer the answer, if short and claimed by an idempotency key
 */
public record ReleaseSlot(
        AttemptId attempt, ExecutionOutcome outcome, Optional<StoredAnswer> answer)
        implements Command {}
