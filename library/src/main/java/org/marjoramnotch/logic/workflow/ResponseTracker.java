package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.order.RejectionReason;
import org.marjoramnotch.model.order.StartRun;
import org.marjoramnotch.model.order.WorkerCall;

/**
 * Counts consecutive calls that a worker left unanswered, and logs rejected ones. Logs once when
 * the worker stops answering and once when it answers again, so that a run end that was reported
 * late can be distinguished from a run that ended late.
 */
final class ResponseTracker {
    private final WorkerId worker;
    private final RunLog log;
    private long answeredAt;
    private int consecutiveUnanswered;

    ResponseTracker(WorkerId worker, RunLog log, long nowMilliseconds) {
        this.worker = worker;
        this.log = log;
        this.answeredAt = nowMilliseconds;
    }

    int consecutiveUnanswered() {
        return consecutiveUnanswered;
    }

    boolean isResponsive() {
        return consecutiveUnanswered == 0;
    }

    void onUnanswered(long nowMilliseconds, WorkerCall call, int runs, LeaderOutput output) {
        consecutiveUnanswered++;
        if (consecutiveUnanswered == 1) {
            output.logDecision(logEntry("worker_call_unanswered", nowMilliseconds, call, runs));
        }
    }

    void onAnswer(long nowMilliseconds, WorkerCall call, int runs, LeaderOutput output) {
        if (consecutiveUnanswered > 0) {
            output.logDecision(logEntry("worker_answers_again", nowMilliseconds, call, runs));
        }
        consecutiveUnanswered = 0;
        answeredAt = nowMilliseconds;
    }

    /** Logs that the answer to a call shows the next incarnation of the worker. */
    void onNextLife(WorkerCall call, int runs, LeaderOutput output) {
        output.logDecision(logEntry("next_life_answered", answeredAt, call, runs));
    }

    void onRejected(WorkerCall call, RejectionReason reason, LeaderOutput output) {
        log.log(
                DecisionLogEntry.of(
                        "order_rejected",
                        "worker",
                        worker,
                        "call",
                        call.getClass().getSimpleName(),
                        "run",
                        call instanceof StartRun start ? start.run() : "none",
                        "reason",
                        reason,
                        "call_id",
                        call.id()),
                output);
    }

    private DecisionLogEntry logEntry(
            String event, long nowMilliseconds, WorkerCall call, int runs) {
        return DecisionLogEntry.of(
                event,
                "worker",
                worker,
                "call",
                call.getClass().getSimpleName(),
                "unanswered",
                consecutiveUnanswered,
                "call_id",
                call.id(),
                "token",
                call.fencingToken(),
                "last_answer_ms",
                nowMilliseconds - answeredAt,
                "runs",
                runs);
    }
}
