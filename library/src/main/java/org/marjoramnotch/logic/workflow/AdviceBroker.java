package org.marjoramnotch.logic.workflow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.admission.AdvisorLoad;
import org.marjoramnotch.logic.admission.WaitingWork;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.AdviceAnswer;
import org.marjoramnotch.model.message.AdviceQuestion;
import org.marjoramnotch.model.message.TakeAdviceQuestion;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Distributes questions to the placement advisor and keeps the tickets that it grants to steps. The
 * advisor takes one question at a time from each VM and may need most of a second to answer, so
 * questions are spread over all daemons: each daemon polls for a question and receives the most
 * urgent one. Whether a worker may run a step never changes, but tickets expire.
 */
final class AdviceBroker {
    /** Allows for the latency of the answer and of the start order that carries the ticket. */
    private static final long TICKET_MARGIN_MILLISECONDS = 150;

    /** Minimum time between worker selections for a step; the periodic scheduling interval. */
    private static final long NEXT_SELECTION_MILLISECONDS = 150;

    private static final int QUESTION_NUMBER_BITS = 32;

    private final Map<JobId, Map<StepId, StepAdvice>> byWorkflow = new HashMap<>();
    private final GrantRateEstimator grantRates = new GrantRateEstimator();
    private final Map<WorkerId, WorkerIncarnation> incarnations = new HashMap<>();
    private final Map<Long, PendingAdviceQuestion> sentQuestions = new HashMap<>();
    private final PriorityQueue<PendingAdviceQuestion> waitingQuestions =
            new PriorityQueue<>(
                    Comparator.comparingLong((PendingAdviceQuestion question) -> question.urgency)
                            .thenComparingLong(question -> question.number));
    private final DaemonPolls polls = new DaemonPolls();
    private final QuestionMeter meter = new QuestionMeter();
    private long lastQuestion;
    private int stepsWithoutTickets;

    /**
     * Creates a broker for one term of leadership.
     *
     * @param fencingToken keeps question numbers distinct from those of earlier leaders, whose
     *     answers may still arrive
     */
    AdviceBroker(long fencingToken) {
        lastQuestion = fencingToken << QUESTION_NUMBER_BITS;
    }

    /** Returns the number of questions, and of steps without tickets, that wait for a daemon. */
    int waitingCount() {
        return waitingQuestions.size() + stepsWithoutTickets;
    }

    long sentCount() {
        return meter.sentCount();
    }

    /**
     * Returns the load of the advisor.
     *
     * @param waiting number of steps about which no question has been asked
     */
    AdvisorLoad load(long nowMilliseconds, WaitingWork waiting) {
        return meter.load(polls.active(nowMilliseconds), polls.idle(), waiting);
    }

    /** Returns whether no question about a step has been asked. */
    boolean isUnasked(StepId step) {
        StepAdvice advice = findAdvice(step);
        return advice == null || advice.isUnasked();
    }

    /** Returns the currently valid tickets of a step by worker; empty if there are none. */
    Map<WorkerId, String> tickets(StepId step, long nowMilliseconds) {
        StepAdvice advice = findAdvice(step);
        return advice == null ? Map.of() : advice.tickets(nowMilliseconds);
    }

    /** Returns the ticket of a step for a worker if it is valid at the given time. */
    Optional<String> ticket(StepId step, WorkerId worker, long atMilliseconds) {
        StepAdvice advice = findAdvice(step);
        return advice == null ? Optional.empty() : advice.ticket(worker, atMilliseconds);
    }

    /** Returns which workers may run a step, as far as is known now; to be used immediately. */
    Predicate<WorkerId> eligible(StepId step) {
        StepAdvice advice = findAdvice(step);
        return worker -> advice == null || advice.mayRunOn(worker);
    }

    /** Returns whether the advisor has granted a worker to a step before. */
    boolean wasGranted(StepId step, WorkerId worker) {
        StepAdvice advice = findAdvice(step);
        return advice != null && advice.wasGranted(worker);
    }

    /** Returns the estimated fraction of workers that the advisor grants to steps of a queue. */
    double grantRate(QueueName queue) {
        return grantRates.estimate(queue);
    }

    /** Discards unsent questions, since a scheduling round enqueues those of all steps again. */
    void beginRound() {
        waitingQuestions.clear();
        stepsWithoutTickets = 0;
    }

    /** Returns whether to ask about a step; counts it if it lacks tickets and no daemon polls. */
    boolean canAsk(StepId step, long nowMilliseconds) {
        StepAdvice advice = findAdvice(step);
        if (advice != null && !advice.mayAsk(nowMilliseconds)) {
            return false;
        }
        if (polls.isEmpty() && (advice == null || !advice.hasTicket(nowMilliseconds))) {
            stepsWithoutTickets++;
        }
        return !polls.isEmpty();
    }

    /** Suppresses questions about a step for a short time unless its tickets change. */
    void deferQuestions(StepId step, long nowMilliseconds) {
        getOrCreateAdvice(step).noQuestionUntil(nowMilliseconds + NEXT_SELECTION_MILLISECONDS);
    }

    /**
     * Enqueues questions about a step in place of those still queued, and sends what it can.
     *
     * @param workers candidates for the step, most preferred first; those named in a question
     *     already sent are left out
     * @param urgency rank of the step; questions with lower values are sent first
     */
    void enqueueQuestions(
            long nowMilliseconds,
            StepId step,
            List<WorkerId> workers,
            QueueDefinition queue,
            long urgency,
            LeaderOutput output) {
        StepAdvice advice = getOrCreateAdvice(step);
        List<WorkerId> toAsk =
                workers.stream()
                        .filter(worker -> advice.mayRunOn(worker) && !advice.isAsked(worker))
                        .toList();
        AdviceTiming timing = queue.advice().orElseThrow();
        if (advice.isPaused(nowMilliseconds)) {
            return;
        }
        waitingQuestions.removeIf(question -> question.step.equals(step));
        int batchSize = PendingAdviceQuestion.batchSize(toAsk.size(), polls.idle(), timing);
        for (int from = 0; from < toAsk.size(); from += batchSize) {
            int to = Math.min(toAsk.size(), from + batchSize);
            lastQuestion++;
            List<WorkerId> named = toAsk.subList(from, to);
            waitingQuestions.add(
                    new PendingAdviceQuestion(
                            lastQuestion, step, named, queue.name(), timing, urgency));
        }
        sendQuestions(nowMilliseconds, output);
    }

    /** Handles a daemon's poll for a question and the answer that it carries, if any. */
    void onPoll(
            long nowMilliseconds,
            RequestHandle handle,
            TakeAdviceQuestion poll,
            LeaderOutput output) {
        poll.answer().ifPresent(answer -> onAnswer(nowMilliseconds, poll.vm(), answer, output));
        polls.add(nowMilliseconds, handle, poll);
        sendQuestions(nowMilliseconds, output);
    }

    /** Discards the ticket of a step for a worker, for example after the worker rejected it. */
    void invalidate(StepId step, WorkerId worker) {
        StepAdvice advice = findAdvice(step);
        if (advice != null) {
            advice.invalidate(worker);
        }
    }

    /** Discards advice about an earlier incarnation of a worker, whose kind may have changed. */
    void onEnrolled(WorkerIncarnation incarnation) {
        WorkerId worker = incarnation.worker();
        if (incarnation.equals(incarnations.put(worker, incarnation))) {
            return;
        }
        byWorkflow.values().forEach(steps -> steps.values().forEach(step -> step.forget(worker)));
        sentQuestions.values().forEach(question -> question.onWorkerRestarted(worker));
    }

    /** Discards advice about the steps of a workflow. */
    void forget(JobId workflow) {
        if (byWorkflow.remove(workflow) != null) {
            waitingQuestions.removeIf(question -> question.step.workflow().equals(workflow));
        }
    }

    void tick(long nowMilliseconds, LeaderOutput output) {
        polls.endExpired(nowMilliseconds, output);
        for (PendingAdviceQuestion question : List.copyOf(sentQuestions.values())) {
            if (nowMilliseconds >= question.discardAt()) {
                sentQuestions.remove(question.number);
            } else if (!question.isTimedOut() && nowMilliseconds >= question.timeoutAt()) {
                question.markTimedOut();
                output.logDecision(DecisionLogEntry.of("advice_unanswered", "step", question.step));
                askAgain(question);
            }
        }
        sendQuestions(nowMilliseconds, output);
    }

    private StepAdvice getOrCreateAdvice(StepId step) {
        return byWorkflow
                .computeIfAbsent(step.workflow(), workflow -> new HashMap<>())
                .computeIfAbsent(step, key -> new StepAdvice());
    }

    private @Nullable StepAdvice findAdvice(StepId step) {
        return byWorkflow.getOrDefault(step.workflow(), Map.of()).get(step);
    }

    private void onAnswer(long nowMilliseconds, VmId vm, AdviceAnswer answer, LeaderOutput output) {
        PendingAdviceQuestion question = sentQuestions.remove(answer.question());
        StepAdvice advice = question == null ? null : findAdvice(question.step);
        if (question == null || advice == null) {
            return;
        }
        if (answer.granted().isEmpty()) {
            output.logDecision(DecisionLogEntry.of("advice_refused", "step", question.step));
            onRefused(nowMilliseconds, question, advice);
            return;
        }
        meter.onAnswer(nowMilliseconds, question);
        polls.onAnswer(vm, nowMilliseconds - question.expectedAnswerAt());
        // The answer may have been delayed, so assume the earliest possible decision time.
        long decidedAt = Math.min(nowMilliseconds, question.expectedAnswerAt());
        advice.onAnswer(
                question,
                answer.granted().get(),
                decidedAt + answer.validMilliseconds() - TICKET_MARGIN_MILLISECONDS);
        grantRates.onAnswer(question.queue, question.workers.size(), answer.granted().get().size());
    }

    private void onRefused(
            long nowMilliseconds, PendingAdviceQuestion question, StepAdvice advice) {
        if (question.isTimedOut()) {
            return;
        }
        if (advice.onRefused(nowMilliseconds)) {
            askAgain(question);
        } else {
            advice.onSettled(question);
        }
    }

    private void askAgain(PendingAdviceQuestion question) {
        StepAdvice advice = findAdvice(question.step);
        if (advice != null) {
            advice.onSettled(question);
            lastQuestion++;
            waitingQuestions.add(question.withNumber(lastQuestion));
        }
    }

    /** Sends questions to the daemons that wait for one. */
    private void sendQuestions(long nowMilliseconds, LeaderOutput output) {
        while (!waitingQuestions.isEmpty() && !polls.isEmpty()) {
            PendingAdviceQuestion question = waitingQuestions.remove();
            question.onSent(nowMilliseconds);
            meter.onSent(question);
            sentQuestions.put(question.number, question);
            StepAdvice advice = findAdvice(question.step);
            if (advice != null) {
                advice.onSent(question);
            }
            output.reply(
                    polls.takeFastest(),
                    new AdviceQuestion(question.number, question.step, question.workers));
        }
    }
}
