package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.AttemptId;

/**
 * Reports the end of an attempt, granted or given up; resent until answered.
 *
 * @param attempt the attempt
 * @param outcome whether the work was done
 * @param endpointFailed whether the endpoint failed it, so that it is weighed down
 * @param runMilliseconds time from sending to the whole answer; 0 if not sent
 * @param answer the answer, if short and claimed by an idempotency key
 */
public record EndAttempt(
        AttemptId attempt,
        ExecutionOutcome outcome,
        boolean endpointFailed,
        long runMilliseconds,
        Optional<StoredAnswer> answer)
        implements CellRequest {}
