package org.marjoramnotch.logic.workflow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.stream.Collectors;
import org.marjoramnotch.model.identifier.WorkerId;

/** Answers of the placement advisor about one step. */
final class StepAdvice {
    /** Initial delay before another question about a step after two consecutive refusals. */
    private static final long INITIAL_BACKOFF_MILLISECONDS = 100;

    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 1_600;

    private record Ticket(String text, long validUntil) {}

    private final Set<WorkerId> askedWorkers = new HashSet<>();
    private final Set<WorkerId> grantedWorkers = new HashSet<>();
    private final Map<WorkerId, Ticket> tickets = new HashMap<>();
    private final Set<PendingAdviceQuestion> openQuestions = new HashSet<>();
    private int refusals;
    private long pausedUntil;
    private long noQuestionUntil;

    /** Returns whether nothing has been asked about the step. */
    boolean isUnasked() {
        return askedWorkers.isEmpty() && openQuestions.isEmpty();
    }

    /** Returns whether a worker may run the step, as far as is known. */
    boolean mayRunOn(WorkerId worker) {
        return !askedWorkers.contains(worker) || grantedWorkers.contains(worker);
    }

    boolean wasGranted(WorkerId worker) {
        return grantedWorkers.contains(worker);
    }

    boolean isAsked(WorkerId worker) {
        return openQuestions.stream().anyMatch(question -> question.workers.contains(worker));
    }

    Optional<String> ticket(WorkerId worker, long nowMilliseconds) {
        return Optional.ofNullable(tickets.get(worker))
                .filter(ticket -> nowMilliseconds < ticket.validUntil())
                .map(Ticket::text);
    }

    boolean hasTicket(long nowMilliseconds) {
        return tickets.values().stream().anyMatch(ticket -> nowMilliseconds < ticket.validUntil());
    }

    Map<WorkerId, String> tickets(long nowMilliseconds) {
        return tickets.entrySet().stream()
                .filter(entry -> nowMilliseconds < entry.getValue().validUntil())
                .collect(
                        Collectors.toUnmodifiableMap(
                                Map.Entry::getKey, entry -> entry.getValue().text()));
    }

    void onSent(PendingAdviceQuestion question) {
        openQuestions.add(question);
    }

    void onSettled(PendingAdviceQuestion question) {
        openQuestions.remove(question);
    }

    /**
     * Handles a refusal of a question. The first is asked again at once; after further consecutive
     * ones, no question is asked for some time.
     *
     * @return whether to ask again at once
     */
    boolean onRefused(long nowMilliseconds) {
        refusals++;
        if (refusals == 1) {
            return true;
        }
        long pause = INITIAL_BACKOFF_MILLISECONDS << Math.min(refusals - 2, 4);
        pausedUntil = nowMilliseconds + Math.min(pause, MAXIMUM_BACKOFF_MILLISECONDS);
        return false;
    }

    /** Suppresses questions about this step until the given time unless tickets change. */
    void noQuestionUntil(long milliseconds) {
        noQuestionUntil = milliseconds;
    }

    /** Returns whether the state of this step allows another question. */
    boolean mayAsk(long nowMilliseconds) {
        return openQuestions.isEmpty() && nowMilliseconds >= Math.max(noQuestionUntil, pausedUntil);
    }

    boolean isPaused(long nowMilliseconds) {
        return nowMilliseconds < pausedUntil;
    }

    void onAnswer(PendingAdviceQuestion question, Map<WorkerId, String> answer, long validUntil) {
        refusals = 0;
        noQuestionUntil = 0;
        openQuestions.remove(question);
        question.workers.stream()
                .filter(worker -> !question.isOutdated(worker))
                .forEach(askedWorkers::add);
        Map<WorkerId, String> current = new HashMap<>(answer);
        current.keySet().removeIf(question::isOutdated);
        grantedWorkers.addAll(current.keySet());
        current.forEach(
                (worker, text) ->
                        tickets.merge(
                                worker,
                                new Ticket(text, validUntil),
                                BinaryOperator.maxBy(
                                        Comparator.comparingLong(Ticket::validUntil))));
    }

    /** Discards all advice about a worker. */
    void forget(WorkerId worker) {
        noQuestionUntil = 0;
        askedWorkers.remove(worker);
        grantedWorkers.remove(worker);
        tickets.remove(worker);
    }

    void invalidate(WorkerId worker) {
        noQuestionUntil = 0;
        tickets.remove(worker);
    }
}
