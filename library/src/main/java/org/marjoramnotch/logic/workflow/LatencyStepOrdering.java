package org.marjoramnotch.logic.workflow;

import java.util.Comparator;
import java.util.List;

/**
 * Orders steps that can still meet their latency objective before late ones, then by the priority
 * of their queue, then by the given rankings, then by their latest start. Under overload, serving
 * late work first would make all work late.
 */
final class LatencyStepOrdering implements StepOrdering {
    /** Multiple of the latency objective after which a result is nearly worthless. */
    private static final int WORTHLESS_AFTER_OBJECTIVES = 3;

    private final List<StepRanking> rankings;

    /**
     * Creates an ordering.
     *
     * @param rankings compared in this order
     */
    LatencyStepOrdering(List<StepRanking> rankings) {
        this.rankings = List.copyOf(rankings);
    }

    @Override
    public void sort(long nowMilliseconds, List<ReadyStep> ready) {
        // A ranking may use the ranks of those that are compared after it.
        for (int index = rankings.size() - 1; index >= 0; index--) {
            rankings.get(index).beginRound(nowMilliseconds, ready);
        }
        ready.sort(order(nowMilliseconds, rankings));
    }

    /** Returns the order with some rankings, whose round must have begun. */
    static Comparator<ReadyStep> order(long nowMilliseconds, List<StepRanking> rankings) {
        Comparator<ReadyStep> order = groups(nowMilliseconds);
        for (StepRanking ranking : rankings) {
            order = order.thenComparingLong(ranking::rank);
        }
        return order.thenComparingLong(ReadyStep::latestStart);
    }

    /** Returns the order of the groups of equal lateness and priority. */
    static Comparator<ReadyStep> groups(long nowMilliseconds) {
        return Comparator.comparingInt((ReadyStep step) -> lateness(step, nowMilliseconds))
                .thenComparingInt(step -> step.workflow().queue().priority());
    }

    private static int lateness(ReadyStep step, long nowMilliseconds) {
        if (step.tasks().definition().standing() || nowMilliseconds <= step.latestStart()) {
            return 0;
        }
        long worthlessAt =
                step.latestStart()
                        + (WORTHLESS_AFTER_OBJECTIVES - 1) * step.objectiveMilliseconds();
        return nowMilliseconds <= worthlessAt ? 1 : 2;
    }
}
