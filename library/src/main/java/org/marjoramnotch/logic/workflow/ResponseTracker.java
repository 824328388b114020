package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.order.WorkerCall;

/**
 * Counts the calls in a row that a worker left unanswered. The log tells once when that begins and
 * once when it ends, so that an end known late can be told from a late end.
 */
final class ResponseTracker {
    private final WorkerId worker;
    private long answeredAt;
    private int consecutiveUnanswered;

    ResponseTracker(WorkerId worker, long nowMilliseconds) {
        this.worker = worker;
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
            output.logDecision(note("worker_call_unanswered", nowMilliseconds, call, runs));
        }
    }

    void onAnswer(long nowMilliseconds, WorkerCall call, int runs, LeaderOutput output) {
        if (consecutiveUnanswered > 0) {
            output.logDecision(note("worker_answers_again", nowMilliseconds, call, runs));
        }
        consecutiveUnanswered = 0;
        answeredAt = nowMilliseconds;
    }

    private DecisionLogEntry note(String event, long nowMilliseconds, WorkerCall call, int runs) {
        return DecisionLogEntry.of(
                event,
                "worker",
                worker,
                "call",
                call.getClass().getSimpleName(),
                "unanswered",
                consecutiveUnanswered,
                "last_answer_ms",
                nowMilliseconds - answeredAt,
                "runs",
                runs);
    }
}
