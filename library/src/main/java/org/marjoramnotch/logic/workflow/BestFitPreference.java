package org.marjoramnotch.logic.workflow;

import java.util.Comparator;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * Takes the worker that a task fills best, so that wide tasks find whole workers later. Near the
 * data comes first, tasks that only fill gaps keep off workers with tasks that serve users, and
 * what has little time left takes a fast worker before a full one.
 */
final class BestFitPreference implements WorkerPreference {
    /** Differences in speed below a tenth are left to the fit. */
    private static final double SPEED_STEP = 0.1;

    /** Queues below this stretch leave no room for slow workers. */
    private static final double TIGHT_STRETCH = 2;

    /** A worker that takes 1.6 times as long is slow for any task. */
    private static final double SLOW_THRESHOLD = 0.5;

    @Override
    public Comparator<WorkerCapacity> forStep(ReadyStep step) {
        StepDefinition definition = step.tasks().definition();
        String dataRack = definition.dataRack().orElse(null);
        boolean pressed = hasTightObjective(step);
        // Written out since a chain of comparators takes most of a round on a large fleet.
        return (one, other) -> {
            int order =
                    Boolean.compare(isAwayFromData(one, dataRack), isAwayFromData(other, dataRack));
            if (order == 0) {
                order = Boolean.compare(one.hasRecentFailures(), other.hasRecentFailures());
            }
            if (order == 0) {
                order =
                        Boolean.compare(
                                one.slowness() > SLOW_THRESHOLD, other.slowness() > SLOW_THRESHOLD);
            }
            if (order == 0) {
                order =
                        Integer.compare(
                                interferingRuns(one, definition),
                                interferingRuns(other, definition));
            }
            if (order == 0 && definition.standing()) {
                order = Integer.compare(one.entry().runs().size(), other.entry().runs().size());
            }
            if (order == 0 && pressed) {
                order = Long.compare(speedStep(one), speedStep(other));
            }
            if (order == 0) {
                order = Long.compare(one.freeProcessorMillis(), other.freeProcessorMillis());
            }
            return order == 0 ? Integer.compare(one.position(), other.position()) : order;
        };
    }

    private static boolean isAwayFromData(WorkerCapacity worker, @Nullable String dataRack) {
        return dataRack != null && !worker.entry().worker().labels().contains(dataRack);
    }

    private static long speedStep(WorkerCapacity worker) {
        return Math.round(worker.slowness() / SPEED_STEP);
    }

    /** Tells whether a queue allows its work less than twice its time. */
    private static boolean hasTightObjective(ReadyStep step) {
        return step.workflow().queue().stretch() < TIGHT_STRETCH;
    }

    /** Counts the runs on a worker that a task would disturb, or that would disturb it. */
    private static int interferingRuns(WorkerCapacity worker, StepDefinition step) {
        if (step.latencyTargetMilliseconds() > 0) {
            return worker.fillerRuns();
        }
        return step.filler() ? worker.servingRuns() : 0;
    }
}
