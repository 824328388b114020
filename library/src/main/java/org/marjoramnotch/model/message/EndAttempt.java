package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.AttemptId;

/**
 * Reports the end of an attempt, whether or not it was granted. Resent until answered.
 *
 * @param attempt the attempt
 * @param outcome whether the work ran
 * @param endpointFailed whether the endpoint failed, so that it is given less work
 * @param runMilliseconds time from sending the request to the complete answer; 0 if not sent
 * @param answer the answer, if it is short and the request claimed an idempotency key
 */
public record EndAttempt(
        AttemptId attempt,
        ExecutionOutcome outcome,
        boolean endpointFailed,
        long runMilliseconds,
        Optional<StoredAnswer> answer)
        implements CellRequest {}
