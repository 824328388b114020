package org.marjoramnotch.model.error;

/**
 * Says why a request was not answered by its endpoint.
 *
 * @param code the kind
 * @param outcome whether the work was done
 * @param message says what to do about it
 */
public record Refusal(ErrorCode code, ExecutionOutcome outcome, String message) {
    /** Returns a refusal of work that was not started. */
    public static Refusal notRun(ErrorCode code, String message) {
        return new Refusal(code, ExecutionOutcome.NOT_RUN, message);
    }
}
