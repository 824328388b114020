package org.marjoramnotch.logic.entry;

import java.util.Optional;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.message.EndAttempt;

/** Creates the reports of ended attempts. */
final class AttemptEndReports {
    private AttemptEndReports() {}

    /** Returns the report of an attempt that ended without an answer. */
    static EntryAction ended(
            AttemptId attempt,
            ExecutionOutcome outcome,
            boolean endpointFailed,
            long runMilliseconds) {
        return new EntryAction.Report(
                new EndAttempt(
                        attempt, outcome, endpointFailed, runMilliseconds, Optional.empty()));
    }

    /** Returns the report of an attempt that was never sent. */
    static EntryAction notSent(AttemptId attempt) {
        return ended(attempt, ExecutionOutcome.NOT_RUN, false, 0);
    }

    /**
     * Returns the report of an answered attempt. It contains the answer only if the request claimed
     * an idempotency key.
     */
    static EntryAction answered(
            AttemptId attempt, EndpointAnswer answer, boolean claimed, long runMilliseconds) {
        return new EntryAction.Report(
                new EndAttempt(
                        attempt,
                        ExecutionOutcome.RAN,
                        answer.failed(),
                        runMilliseconds,
                        claimed ? answer.stored() : Optional.empty()));
    }
}
