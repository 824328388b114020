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

/** What the placement advisor has said of one step. */
final class StepAdvice {
    private record Ticket(String text, long validUntil) {}

    private final Set<WorkerId> asked = new HashSet<>();
    private final Set<WorkerId> granted = new HashSet<>();
    private final Map<WorkerId, Ticket> tickets = new HashMap<>();
    private final Set<PendingAdviceQuestion> openQuestions = new HashSet<>();
    private int refusals;
    private long pausedUntil;
    private long noQuestionUntil;

    /** Tells whether a worker may run the step, as far as is known. */
    boolean mayRunOn(WorkerId worker) {
        return !asked.contains(worker) || granted.contains(worker);
    }

    boolean wasGranted(WorkerId worker) {
        return granted.contains(worker);
    }

    boolean isAsked(WorkerId worker) {
        return openQuestions.stream().anyMatch(call -> call.workers.contains(worker));
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

    void onGiven(PendingAdviceQuestion call) {
        openQuestions.add(call);
    }

    void onSettled(PendingAdviceQuestion call) {
        openQuestions.remove(call);
    }

    /** Counts refusals in a row, and returns them. */
    int countRefusal() {
        refusals++;
        return refusals;
    }

    void pauseUntil(long milliseconds) {
        pausedUntil = milliseconds;
    }

    /** Notes that no further worker needs to be named for a while, unless tickets change. */
    void noQuestionUntil(long milliseconds) {
        noQuestionUntil = milliseconds;
    }

    /** Tells whether a question is due as far as the step's own state goes. */
    boolean mayAsk(long nowMilliseconds) {
        return openQuestions.isEmpty() && nowMilliseconds >= Math.max(noQuestionUntil, pausedUntil);
    }

    boolean isPaused(long nowMilliseconds) {
        return nowMilliseconds < pausedUntil;
    }

    void onAnswer(PendingAdviceQuestion call, Map<WorkerId, String> answer, long validUntil) {
        refusals = 0;
        noQuestionUntil = 0;
        openQuestions.remove(call);
        call.workers.stream().filter(worker -> !call.isOutdated(worker)).forEach(asked::add);
        Map<WorkerId, String> current = new HashMap<>(answer);
        current.keySet().removeIf(call::isOutdated);
        granted.addAll(current.keySet());
        current.forEach(
                (worker, text) ->
                        tickets.merge(
                                worker,
                                new Ticket(text, validUntil),
                                BinaryOperator.maxBy(
                                        Comparator.comparingLong(Ticket::validUntil))));
    }

    /** Forgets what was said of a worker. */
    void forget(WorkerId worker) {
        noQuestionUntil = 0;
        asked.remove(worker);
        granted.remove(worker);
        tickets.remove(worker);
    }

    void invalidate(WorkerId worker) {
        noQuestionUntil = 0;
        tickets.remove(worker);
    }
}
