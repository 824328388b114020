package org.marjoramnotch.model.command;

import java.util.Optional;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.AttemptId;

/**
 * Releases the slot or feed connection that an attempt holds; has no effect if it holds none.
 *
 * @param attempt the attempt
 * @param outcome whether the work ran
 * @param answer the answer to store, if it is short and the request has an idempotency key
 */
public record ReleaseSlot(
        AttemptId attempt, ExecutionOutcome outcome, Optional<StoredAnswer> answer)
        implements Command {}
