package org.marjoramnotch.logic.workflow;

import java.util.Comparator;

/**
 * Orders steps that can still meet their latency objective before late ones, then by the priority
 * of their queue, then by their latest start. Under overload, serving late work first would make
 * all work late.
 */
final class LatencyStepOrdering implements StepOrdering {
    /** Multiple of the latency objective after which a result is nearly worthless. */
    private static final int WORTHLESS_AFTER_OBJECTIVES = 3;

    @Override
    public Comparator<ReadyStep> at(long nowMilliseconds) {
        return Comparator.comparingInt((ReadyStep step) -> lateness(step, nowMilliseconds))
                .thenComparingInt(step -> step.workflow().queue().priority())
                .thenComparingLong(ReadyStep::latestStart);
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
