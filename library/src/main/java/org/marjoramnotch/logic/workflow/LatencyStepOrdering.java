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
        Comparator<ReadyStep> order =
                Comparator.comparingInt((ReadyStep step) -> lateness(step, nowMilliseconds))
                        .thenComparingInt(step -> step.workflow().queue().priority());
        for (StepRanking ranking : rankings) {
            ranking.beginRound(nowMilliseconds, ready);
            order = order.thenComparingLong(ranking::rank);
        }
        ready.sort(order.thenComparingLong(ReadyStep::latestStart));
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
