package org.marjoramnotch.logic.workflow;

import java.util.Comparator;

/**
 * Serves what can still be in time before what is late, then by the queue's priority, then by
 * slack. It answers the rush in which more arrives than can be in time: serving late work first
 * would make all work late.
 */
final class LatencyStepOrdering implements StepOrdering {
    /** Beyond this multiple of the objective an answer is worth next to nothing. */
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
        long worthless =
                step.latestStart()
                        + (WORTHLESS_AFTER_OBJECTIVES - 1) * step.objectiveMilliseconds();
        return nowMilliseconds <= worthless ? 1 : 2;
    }
}
