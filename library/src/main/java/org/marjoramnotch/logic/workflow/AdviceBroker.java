package org.marjoramnotch.logic.workflow;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.AdviceAnswer;
import org.marjoramnotch.model.message.AdviceQuestion;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.TakeAdviceQuestion;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Collects the placement advisor's tickets for steps. The advisor takes one question at a time from
 * each VM and may need most of a second for it, so the questions are spread over all daemons: each
 * offers itself in turn and is handed the most urgent one. Which workers may run a step never
 * changes, but tickets expire.
 */
final class AdviceBroker {
    /** Covers the way of the answer and of the start that carries the ticket. */
    private static final long TICKET_MARGIN_MILLISECONDS = 150;

    /** First pause before a step is asked about again that the advisor refused to answer twice. */
    private static final long INITIAL_BACKOFF_MILLISECONDS = 100;

    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 1_600;

    /** Time between looks for workers to name, as between rounds that only time brings. */
    private static final long NEXT_SELECTION_MILLISECONDS = 150;

    private static final int QUESTION_NUMBER_BITS = 32;

    private record Offer(RequestHandle handle, long endsAt) {}

    private final Map<JobId, Map<StepId, StepAdvice>> byWorkflow = new HashMap<>();
    private final GrantRateEstimator grantRates = new GrantRateEstimator();
    private final Map<WorkerId, WorkerIncarnation> incarnations = new HashMap<>();
    private final Map<Long, PendingAdviceQuestion> sentQuestions = new HashMap<>();
    private final PriorityQueue<PendingAdviceQuestion> waitingQuestions =
            new PriorityQueue<>(
                    Comparator.comparingLong((PendingAdviceQuestion call) -> call.urgency)
                            .thenComparingLong(call -> call.number));
    private final Deque<Offer> offers = new ArrayDeque<>();
    private long lastQuestion;
    private int stepsWithoutTickets;

    /**
     * Creates a desk.
     *
     * @param fencingToken keeps the numbers of questions apart from those of earlier leaders, whose
     *     answers may still come
     */
    AdviceBroker(long fencingToken) {
        lastQuestion = fencingToken << QUESTION_NUMBER_BITS;
    }

    /** Returns how many questions and steps without tickets wait for a daemon. */
    int waitingCount() {
        return waitingQuestions.size() + stepsWithoutTickets;
    }

    /** Returns the valid tickets of a step by worker; empty if there are none now. */
    Map<WorkerId, String> tickets(StepId step, long nowMilliseconds) {
        StepAdvice advice = findAdvice(step);
        return advice == null ? Map.of() : advice.tickets(nowMilliseconds);
    }

    /** Returns the ticket of a step for a worker that is valid at a time. */
    Optional<String> ticket(StepId step, WorkerId worker, long atMilliseconds) {
        StepAdvice advice = findAdvice(step);
        return advice == null ? Optional.empty() : advice.ticket(worker, atMilliseconds);
    }

    /** Returns which workers may run a step, as far as is known; to be asked at once. */
    Predicate<WorkerId> eligible(StepId step) {
        StepAdvice advice = findAdvice(step);
        return worker -> advice == null || advice.mayRunOn(worker);
    }

    /** Tells whether the advisor has granted a worker to a step before. */
    boolean wasGranted(StepId step, WorkerId worker) {
        StepAdvice advice = findAdvice(step);
        return advice != null && advice.wasGranted(worker);
    }

    /** Returns the share of the workers that is granted to steps of a queue. */
    double grantRate(QueueName queue) {
        return grantRates.estimate(queue);
    }

    /** Forgets the questions that no daemon has, since the needs of all steps are told anew. */
    void beginRound() {
        waitingQuestions.clear();
        stepsWithoutTickets = 0;
    }

    /** Tells whether a daemon is free to ask; notes a step without tickets that waits for one. */
    boolean canAsk(StepId step, long nowMilliseconds) {
        StepAdvice advice = findAdvice(step);
        if (advice != null && !advice.mayAsk(nowMilliseconds)) {
            return false;
        }
        if (offers.isEmpty() && (advice == null || !advice.hasTicket(nowMilliseconds))) {
            stepsWithoutTickets++;
        }
        return !offers.isEmpty();
    }

    /** Notes that a step needs no question for a while, unless its tickets change. */
    void deferQuestions(StepId step, long nowMilliseconds) {
        getOrCreateAdvice(step).noQuestionUntil(nowMilliseconds + NEXT_SELECTION_MILLISECONDS);
    }

    /**
     * Asks about a step.
     *
     * @param workers those that might run it, the most wanted first; those that a daemon asks about
     *     already are left out
     * @param urgency lower is asked first
     */
    void enqueueQuestions(
            long nowMilliseconds,
            StepId step,
            List<WorkerId> workers,
            QueueDefinition queue,
            long urgency,
            LeaderOutput output) {
        StepAdvice advice = getOrCreateAdvice(step);
        List<WorkerId> named =
                workers.stream()
                        .filter(worker -> advice.mayRunOn(worker) && !advice.isAsked(worker))
                        .toList();
        AdviceTiming terms = queue.advice().orElseThrow();
        if (advice.isPaused(nowMilliseconds)) {
            return;
        }
        waitingQuestions.removeIf(call -> call.step.equals(step));
        int part = PendingAdviceQuestion.batchSize(named.size(), offers.size(), terms);
        for (int from = 0; from < named.size(); from += part) {
            int to = Math.min(named.size(), from + part);
            lastQuestion++;
            waitingQuestions.add(
                    new PendingAdviceQuestion(
                            lastQuestion,
                            step,
                            named.subList(from, to),
                            queue.name(),
                            terms,
                            urgency));
        }
        sendQuestions(nowMilliseconds, output);
    }

    /** Takes an offer to ask, and the answer that came with it. */
    void onOffer(
            long nowMilliseconds,
            RequestHandle handle,
            TakeAdviceQuestion offer,
            LeaderOutput output) {
        offer.answer().ifPresent(answer -> onAnswer(nowMilliseconds, answer, output));
        Offer next = new Offer(handle, nowMilliseconds + offer.waitMilliseconds());
        // A daemon that can't reach the advisor is back first and would draw all questions.
        if (offer.answer().isPresent() && offer.answer().get().granted().isEmpty()) {
            offers.addFirst(next);
        } else {
            offers.addLast(next);
        }
        sendQuestions(nowMilliseconds, output);
    }

    /** Forgets the ticket of a step for a worker, for example after it was refused. */
    void invalidate(StepId step, WorkerId worker) {
        StepAdvice advice = findAdvice(step);
        if (advice != null) {
            advice.invalidate(worker);
        }
    }

    /** Forgets what was said of an earlier life of a worker; the new one may be of another kind. */
    void onEnrolled(WorkerIncarnation life) {
        WorkerId worker = life.worker();
        if (life.equals(incarnations.put(worker, life))) {
            return;
        }
        byWorkflow.values().forEach(steps -> steps.values().forEach(step -> step.forget(worker)));
        sentQuestions.values().forEach(call -> call.onWorkerRestarted(worker));
    }

    /** Forgets the steps of a workflow. */
    void forget(JobId workflow) {
        if (byWorkflow.remove(workflow) != null) {
            waitingQuestions.removeIf(call -> call.step.workflow().equals(workflow));
        }
    }

    void tick(long nowMilliseconds, LeaderOutput output) {
        for (Offer offer : List.copyOf(offers)) {
            if (offer.endsAt() <= nowMilliseconds) {
                offers.remove(offer);
                output.reply(offer.handle(), new Done());
            }
        }
        for (PendingAdviceQuestion call : List.copyOf(sentQuestions.values())) {
            if (nowMilliseconds >= call.discardAt()) {
                sentQuestions.remove(call.number);
            } else if (!call.isTimedOut() && nowMilliseconds >= call.timeoutAt()) {
                call.markTimedOut();
                output.logDecision(DecisionLogEntry.of("advice_unanswered", "step", call.step));
                askAgain(call);
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

    private void onAnswer(long nowMilliseconds, AdviceAnswer answer, LeaderOutput output) {
        PendingAdviceQuestion call = sentQuestions.remove(answer.question());
        StepAdvice advice = call == null ? null : findAdvice(call.step);
        if (call == null || advice == null) {
            return;
        }
        if (answer.granted().isEmpty()) {
            output.logDecision(DecisionLogEntry.of("advice_refused", "step", call.step));
            onRefused(nowMilliseconds, call, advice);
            return;
        }
        // The answer may have been long on its way; it is at least as old as its question allows.
        long decidedAt = Math.min(nowMilliseconds, call.expectedAnswerAt());
        advice.onAnswer(
                call,
                answer.granted().get(),
                decidedAt + answer.validMilliseconds() - TICKET_MARGIN_MILLISECONDS);
        grantRates.onAnswer(call.queue, call.workers.size(), answer.granted().get().size());
    }

    private void onRefused(long nowMilliseconds, PendingAdviceQuestion call, StepAdvice advice) {
        if (call.isTimedOut()) {
            return;
        }
        int refusals = advice.countRefusal();
        if (refusals == 1) {
            askAgain(call);
            return;
        }
        advice.onSettled(call);
        long pause = INITIAL_BACKOFF_MILLISECONDS << Math.min(refusals - 2, 4);
        advice.pauseUntil(nowMilliseconds + Math.min(pause, MAXIMUM_BACKOFF_MILLISECONDS));
    }

    private void askAgain(PendingAdviceQuestion call) {
        StepAdvice advice = findAdvice(call.step);
        if (advice != null) {
            advice.onSettled(call);
            lastQuestion++;
            waitingQuestions.add(call.withNumber(lastQuestion));
        }
    }

    /** Hands questions to the newest offers; an old one may be of a daemon that has died. */
    private void sendQuestions(long nowMilliseconds, LeaderOutput output) {
        while (!waitingQuestions.isEmpty() && !offers.isEmpty()) {
            PendingAdviceQuestion call = waitingQuestions.remove();
            call.onSent(nowMilliseconds);
            sentQuestions.put(call.number, call);
            StepAdvice advice = findAdvice(call.step);
            if (advice != null) {
                advice.onGiven(call);
            }
            output.reply(
                    offers.removeLast().handle(),
                    new AdviceQuestion(call.number, call.step, call.workers));
        }
    }
}
