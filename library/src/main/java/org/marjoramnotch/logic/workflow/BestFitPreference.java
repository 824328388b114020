package org.marjoramnotch.logic.workflow;

import java.util.Comparator;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * Prefers the worker with the least free processor capacity (best fit), so that large tasks find
 * empty workers later. Workers on the rack of the data come first. Filler tasks and tasks with a
 * latency target avoid each other's workers. A worker that may hold an inherited lease comes after
 * others, since its runs would have to wait for longer if it were lost, and so does a worker that
 * may be cold. Steps with a tight objective prefer a fast worker to a fuller one.
 */
final class BestFitPreference implements WorkerPreference {
    /**
     * Resolution of speed comparisons; workers of about the same speed are compared by best fit.
     */
    private static final double SPEED_RESOLUTION = 0.1;

    /** Slowness above which every task prefers another worker: 1.6 times the usual run time. */
    private static final double SLOW_THRESHOLD = 0.5;

    @Override
    public Comparator<WorkerCapacity> forStep(ReadyStep step) {
        StepDefinition definition = step.tasks().definition();
        String dataRack = definition.dataRack().orElse(null);
        boolean tightObjective = step.hasTightObjective();
        // Written out because a chain of comparators takes most of the time of a scheduling round
        // on a large fleet.
        return (one, other) -> {
            int order =
                    Boolean.compare(isAwayFromData(one, dataRack), isAwayFromData(other, dataRack));
            if (order == 0) {
                order = Boolean.compare(one.hasRecentFailures(), other.hasRecentFailures());
            }
            if (order == 0) {
                order =
                        Boolean.compare(
                                one.entry().mayHoldInheritedLease(),
                                other.entry().mayHoldInheritedLease());
            }
            if (order == 0) {
                order =
                        Boolean.compare(
                                one.slowness() > SLOW_THRESHOLD, other.slowness() > SLOW_THRESHOLD);
            }
            if (order == 0) {
                order = Boolean.compare(one.isCold(), other.isCold());
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
            if (order == 0 && tightObjective) {
                order = Long.compare(roundedSlowness(one), roundedSlowness(other));
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

    private static long roundedSlowness(WorkerCapacity worker) {
        return Math.round(worker.slowness() / SPEED_RESOLUTION);
    }

    /**
     * Counts the runs on a worker that would slow down a task of the step or be slowed down by it.
     */
    private static int interferingRuns(WorkerCapacity worker, StepDefinition step) {
        if (step.latencyTargetMilliseconds() > 0) {
            return worker.fillerRuns();
        }
        return step.filler() ? worker.latencyTargetRuns() : 0;
    }
}
