package org.marjoramnotch.logic.entry;

import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Refusal;

/** The refusals that an entry itself sends to callers. Each message states the remedy. */
final class EntryRefusals {
    private EntryRefusals() {}

    static Refusal grantTooLate(ExecutionOutcome outcome) {
        return new Refusal(
                ErrorCode.OVERLOADED,
                outcome,
                "The granted slot was not used within its start time limit; retry.");
    }

    static Refusal unreachable(ExecutionOutcome outcome) {
        return new Refusal(
                ErrorCode.ENDPOINT_UNREACHABLE,
                outcome,
                "The endpoint could not be reached or refused the request; retry.");
    }

    static Refusal answerLost() {
        return new Refusal(
                ErrorCode.ENDPOINT_ANSWER_LOST,
                ExecutionOutcome.UNKNOWN,
                "The endpoint's answer was lost and the work may have run; check its effect"
                        + " before sending the request again.");
    }

    static Refusal deadlineExceeded(ExecutionOutcome outcome) {
        return new Refusal(
                ErrorCode.DEADLINE_EXCEEDED,
                outcome,
                "No answer arrived within the deadline; resend with a longer one if the outcome"
                        + " permits it.");
    }
}
