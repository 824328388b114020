package org.marjoramnotch.logic.workflow;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.StepId;

/** One question to the placement advisor. */
final class PendingAdviceQuestion {
    /** Time beyond the advisor's own after which a question is put again by another daemon. */
    private static final long ANSWER_MARGIN_MILLISECONDS = 1_000;

    private static final int MAXIMUM_WORKERS = 100;

    final long number;
    final StepId step;
    final List<WorkerId> workers;
    final QueueName queue;
    final AdviceTiming terms;
    final long urgency;

    /** Workers that began a new life since they were named. */
    private final Set<WorkerId> restarted = new HashSet<>();

    private long expectedAnswerAt;
    private boolean timedOut;

    PendingAdviceQuestion(
            long number,
            StepId step,
            List<WorkerId> workers,
            QueueName queue,
            AdviceTiming terms,
            long urgency) {
        this.number = number;
        this.step = step;
        this.workers = workers;
        this.queue = queue;
        this.terms = terms;
        this.urgency = urgency;
    }

    /** Returns how many workers each question names, so that free daemons ask side by side. */
    static int batchSize(int named, int daemons, AdviceTiming terms) {
        int sideBySide = Math.max(1, daemons);
        int even = (named + sideBySide - 1) / sideBySide;
        return Math.min(MAXIMUM_WORKERS, Math.max(even, terms.workersPerShortQuestion()));
    }

    PendingAdviceQuestion withNumber(long newNumber) {
        return new PendingAdviceQuestion(newNumber, step, workers, queue, terms, urgency);
    }

    void onSent(long nowMilliseconds) {
        double longest =
                terms.decisionMilliseconds() + terms.perWorkerMilliseconds() * workers.size();
        expectedAnswerAt = nowMilliseconds + (long) longest;
    }

    /** Returns when the advisor decides if it takes the question up at once. */
    long expectedAnswerAt() {
        return expectedAnswerAt;
    }

    /** Returns when the daemon that has the question counts as lost. */
    long timeoutAt() {
        return expectedAnswerAt + ANSWER_MARGIN_MILLISECONDS;
    }

    /** Returns when tickets of an answer would have expired. */
    long discardAt() {
        return Math.max(timeoutAt(), expectedAnswerAt + (long) terms.ticketMilliseconds());
    }

    void onWorkerRestarted(WorkerId worker) {
        restarted.add(worker);
    }

    /** Tells whether the answer is about an earlier life of a worker. */
    boolean isOutdated(WorkerId worker) {
        return restarted.contains(worker);
    }

    void markTimedOut() {
        timedOut = true;
    }

    boolean isTimedOut() {
        return timedOut;
    }
}
