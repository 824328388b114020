package org.marjoramnotch.model.error;

import java.util.Optional;

/**
 * The reason why a request was refused or failed.
 *
 * @param code the kind of the error
 * @param outcome whether the work was done
 * @param message describes the error and its remedy
 * @param retryAfterMilliseconds pause after which the request may be sent again, if it is known
 */
public record Refusal(
        ErrorCode code,
        ExecutionOutcome outcome,
        String message,
        Optional<Long> retryAfterMilliseconds) {
    /** Creates a refusal that names no pause. */
    public Refusal(ErrorCode code, ExecutionOutcome outcome, String message) {
        this(code, outcome, message, Optional.empty());
    }

    /** Returns a refusal for work that was not started. */
    public static Refusal notRun(ErrorCode code, String message) {
        return new Refusal(code, ExecutionOutcome.NOT_RUN, message);
    }

    /** Returns the same refusal with a pause after which the request may be sent again. */
    public Refusal withRetryAfter(long milliseconds) {
        return new Refusal(code, outcome, message, Optional.of(milliseconds));
    }
}
