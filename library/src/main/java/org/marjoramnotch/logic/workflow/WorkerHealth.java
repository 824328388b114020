package org.marjoramnotch.logic.workflow;

import java.util.List;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;

/** Tracks how runs end on a worker and quarantines a worker that fails or stalls them. */
final class WorkerHealth {
    /**
     * Time for which a worker that fails or stalls runs, or rejects calls as unhealthy, gets no new
     * runs.
     */
    private static final long QUARANTINE_MILLISECONDS = 5_000;

    private final WorkerId worker;
    private final ConsecutiveFailures failures = new ConsecutiveFailures();
    private final StallDetector stalls = new StallDetector();
    private long quarantinedUntil;

    WorkerHealth(WorkerId worker) {
        this.worker = worker;
    }

    boolean isQuarantined(long nowMilliseconds) {
        return nowMilliseconds < quarantinedUntil;
    }

    boolean hasRecentFailures(long nowMilliseconds) {
        return failures.hasRecentFailures(nowMilliseconds);
    }

    void onStandingEnd(long nowMilliseconds, RunEnd end) {
        if (end.outcome() == RunOutcome.FAILED) {
            failures.onStandingFailure(nowMilliseconds);
        }
    }

    /** Handles a start that the worker left unanswered; others are preferred for some time. */
    void onStartGivenUp(long nowMilliseconds) {
        failures.onStartGivenUp(nowMilliseconds);
    }

    void onEnd(long nowMilliseconds, RunEnd end, LeaderOutput output) {
        if (end.outcome() == RunOutcome.DONE) {
            failures.onSuccess();
        } else if (end.outcome() == RunOutcome.FAILED) {
            failures.onFailure(nowMilliseconds, end.run().task().step().workflow());
            if (failures.isSuspect()) {
                quarantine(nowMilliseconds, "fails_runs", output);
            }
        }
    }

    /** Handles the run statuses in a list and returns the stalled runs. */
    List<RunId> findStalled(long nowMilliseconds, List<RunStatus> statuses) {
        return stalls.findStalled(nowMilliseconds, statuses);
    }

    void quarantine(long nowMilliseconds, String cause, LeaderOutput output) {
        boolean already = isQuarantined(nowMilliseconds);
        quarantinedUntil = nowMilliseconds + QUARANTINE_MILLISECONDS;
        if (already) {
            return;
        }
        output.logDecision(
                DecisionLogEntry.of(
                        "worker_quarantined",
                        "worker",
                        worker,
                        "cause",
                        cause,
                        "for_ms",
                        QUARANTINE_MILLISECONDS));
    }
}
