package org.marjoramnotch.logic.workflow;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.StepId;

/** A question to the placement advisor, queued for a daemon or awaiting its answer. */
final class PendingAdviceQuestion {
    /** Time after the expected answer at which another daemon is asked. */
    private static final long ANSWER_MARGIN_MILLISECONDS = 1_000;

    private static final int MAXIMUM_WORKERS = 100;

    final long number;
    final StepId step;
    final List<WorkerId> workers;
    final QueueName queue;
    final AdviceTiming timing;
    final long urgency;

    /** Workers that have restarted since the question named them. */
    private final Set<WorkerId> restarted = new HashSet<>();

    private long sentAt;
    private long expectedAnswerAt;
    private boolean timedOut;

    PendingAdviceQuestion(
            long number,
            StepId step,
            List<WorkerId> workers,
            QueueName queue,
            AdviceTiming timing,
            long urgency) {
        this.number = number;
        this.step = step;
        this.workers = workers;
        this.queue = queue;
        this.timing = timing;
        this.urgency = urgency;
    }

    /** Returns how many workers each question names, so that free daemons ask in parallel. */
    static int batchSize(int named, int daemons, AdviceTiming timing) {
        int parallelQuestions = Math.max(1, daemons);
        int evenShare = (named + parallelQuestions - 1) / parallelQuestions;
        return Math.min(MAXIMUM_WORKERS, Math.max(evenShare, timing.workersPerShortQuestion()));
    }

    PendingAdviceQuestion withNumber(long newNumber) {
        return new PendingAdviceQuestion(newNumber, step, workers, queue, timing, urgency);
    }

    void onSent(long nowMilliseconds) {
        sentAt = nowMilliseconds;
        double answerMilliseconds =
                timing.decisionMilliseconds() + timing.perWorkerMilliseconds() * workers.size();
        expectedAnswerAt = nowMilliseconds + (long) answerMilliseconds;
    }

    /** Returns when the question was given to a daemon. */
    long sentAt() {
        return sentAt;
    }

    /** Returns when the advisor answers if it handles the question immediately. */
    long expectedAnswerAt() {
        return expectedAnswerAt;
    }

    /** Returns when the daemon that has the question is considered lost. */
    long timeoutAt() {
        return expectedAnswerAt + ANSWER_MARGIN_MILLISECONDS;
    }

    /** Returns when the tickets of an answer would have expired, after which it is useless. */
    long discardAt() {
        return Math.max(timeoutAt(), expectedAnswerAt + (long) timing.ticketMilliseconds());
    }

    void onWorkerRestarted(WorkerId worker) {
        restarted.add(worker);
    }

    /** Returns whether the answer is about an earlier incarnation of a worker. */
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
