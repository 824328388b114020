package org.marjoramnotch.model.error;

/**
 * The reason why a request was refused or failed.
 *
 * @param code the kind of the error
 * @param outcome whether the work was done
 * @param message describes the error and its remedy
 */
public record Refusal(ErrorCode code, ExecutionOutcome outcome, String message) {
    /** Returns a refusal for work that was not started. */
    public static Refusal notRun(ErrorCode code, String message) {
        return new Refusal(code, ExecutionOutcome.NOT_RUN, message);
    }
}
