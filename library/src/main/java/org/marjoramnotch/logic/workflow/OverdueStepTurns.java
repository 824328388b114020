package org.marjoramnotch.logic.workflow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Lets overdue steps take turns at coming first. Answers a rush that outlasts the latency
 * objectives: late work comes after all work that can still be in time, so that without turns an
 * accepted step would wait until the rush is over.
 */
final class OverdueStepTurns {
    /** Every eighth round that decides anything, so that work in time loses little. */
    private static final int ROUNDS_PER_TURN = 8;

    private final Map<StepId, Long> lastTurns = new HashMap<>();
    private Optional<StepId> first = Optional.empty();
    private long turns;
    private int roundsSinceTurn;

    /**
     * Moves the overdue step whose last turn is longest ago to the front of the ordered steps if a
     * turn is due. The turn lasts until a round decides anything.
     */
    void apply(long nowMilliseconds, List<ReadyStep> ordered) {
        first = Optional.empty();
        if (roundsSinceTurn < ROUNDS_PER_TURN) {
            return;
        }
        ordered.stream()
                .filter(step -> nowMilliseconds > step.latestStart())
                .min(
                        Comparator.comparingLong(
                                        (ReadyStep step) -> lastTurns.getOrDefault(step.id(), 0L))
                                .thenComparingLong(ReadyStep::latestStart))
                .ifPresent(
                        step -> {
                            first = Optional.of(step.id());
                            ordered.remove(step);
                            ordered.add(0, step);
                            lastTurns.keySet().retainAll(idsOf(ordered));
                        });
    }

    /** Counts a round in which a task was placed or a question was asked. */
    void onProductiveRound() {
        roundsSinceTurn++;
        if (first.isPresent()) {
            turns++;
            lastTurns.put(first.get(), turns);
            roundsSinceTurn = 0;
        }
    }

    private static Set<StepId> idsOf(List<ReadyStep> steps) {
        return steps.stream().map(ReadyStep::id).collect(Collectors.toSet());
    }
}
