package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * A worker in one round of decisions: what it has left, and what tells for or against it. Nothing
 * is applied during a round, so only decided starts change it.
 */
final class WorkerCapacity {
    private static final int NOT_COUNTED = -1;

    private final WorkerEntry entry;
    private final int position;
    private final boolean recentFailures;
    private final double slowness;
    private long freeProcessorMillis;
    private long freeMemoryMegabytes;
    private long freeAccelerators;
    private int fillers = NOT_COUNTED;
    private int serving = NOT_COUNTED;

    /**
     * Creates the room of a worker.
     *
     * @param entry the worker
     * @param position its place among the workers of its pool by name
     * @param taken what runs and decided starts hold of it
     * @param recentFailures whether its last runs failed
     * @param slowness how slow it is; see {@link SpeedEstimator#slowness}
     */
    WorkerCapacity(
            WorkerEntry entry,
            int position,
            Resources taken,
            boolean recentFailures,
            double slowness) {
        this.entry = entry;
        this.position = position;
        this.recentFailures = recentFailures;
        this.slowness = slowness;
        Resources capacity = entry.worker().capacity();
        freeProcessorMillis = capacity.processorMillis() - taken.processorMillis();
        freeMemoryMegabytes = capacity.memoryMegabytes() - taken.memoryMegabytes();
        freeAccelerators = capacity.accelerators() - taken.accelerators();
    }

    WorkerEntry entry() {
        return entry;
    }

    WorkerId id() {
        return entry.worker().id();
    }

    int position() {
        return position;
    }

    boolean hasRecentFailures() {
        return recentFailures;
    }

    double slowness() {
        return slowness;
    }

    /** Returns the processor thousandths that nothing has reserved. */
    long freeProcessorMillis() {
        return freeProcessorMillis;
    }

    boolean hasLabelFor(StepDefinition step) {
        return step.requiredLabel()
                .map(label -> entry.worker().labels().contains(label))
                .orElse(true);
    }

    boolean holds(Resources more) {
        return more.processorMillis() <= freeProcessorMillis
                && more.memoryMegabytes() <= freeMemoryMegabytes
                && more.accelerators() <= freeAccelerators;
    }

    /** Returns how many tasks with these resources it has room for, up to a number. */
    int tasksThatFit(Resources each, int most) {
        long fit = most;
        fit = Math.min(fit, quotient(freeProcessorMillis, each.processorMillis()));
        fit = Math.min(fit, quotient(freeMemoryMegabytes, each.memoryMegabytes()));
        fit = Math.min(fit, quotient(freeAccelerators, each.accelerators()));
        return (int) Math.max(0, fit);
    }

    private static long quotient(long room, long each) {
        return each <= 0 ? Long.MAX_VALUE : room / each;
    }

    void reserve(Resources more) {
        freeProcessorMillis -= more.processorMillis();
        freeMemoryMegabytes -= more.memoryMegabytes();
        freeAccelerators -= more.accelerators();
    }

    void release(Resources less) {
        freeProcessorMillis += less.processorMillis();
        freeMemoryMegabytes += less.memoryMegabytes();
        freeAccelerators += less.accelerators();
    }

    /** Counts the runs that only use what others leave. */
    int fillerRuns() {
        if (fillers == NOT_COUNTED) {
            fillers = (int) entry.runs().stream().filter(run -> run.step().filler()).count();
        }
        return fillers;
    }

    /** Counts the runs with a bound of their latency. */
    int servingRuns() {
        if (serving == NOT_COUNTED) {
            serving =
                    (int)
                            entry.runs().stream()
                                    .filter(run -> run.step().latencyTargetMilliseconds() > 0)
                                    .count();
        }
        return serving;
    }
}
