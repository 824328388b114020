package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * A worker in one scheduling round: its free capacity and the criteria for choosing it. No command
 * is applied during a round, so only decided starts change the capacity.
 */
final class WorkerCapacity {
    private static final int NOT_COUNTED = -1;

    private final WorkerEntry entry;
    private final int position;
    private final boolean recentFailures;
    private final double slowness;
    private final boolean cold;
    private long freeProcessorMillis;
    private long freeMemoryMegabytes;
    private long freeAccelerators;
    private int fillerRuns = NOT_COUNTED;
    private int latencyTargetRuns = NOT_COUNTED;

    /**
     * Creates the capacity of a worker.
     *
     * @param entry the worker
     * @param position its rank by name among the workers of its pool
     * @param taken capacity reserved by runs and decided starts
     * @param recentFailures whether runs on it failed recently
     * @param slowness how slow it is; see {@link SpeedEstimator#slowness}
     * @param cold whether it may be cold after an evacuation of its zone
     */
    WorkerCapacity(
            WorkerEntry entry,
            int position,
            Resources taken,
            boolean recentFailures,
            double slowness,
            boolean cold) {
        this.entry = entry;
        this.position = position;
        this.recentFailures = recentFailures;
        this.slowness = slowness;
        this.cold = cold;
        Resources capacity = entry.worker().capacity();
        freeProcessorMillis = capacity.processorMillis() - taken.processorMillis();
        freeMemoryMegabytes = capacity.memoryMegabytes() - taken.memoryMegabytes();
        freeAccelerators = capacity.accelerators() - taken.accelerators();
    }

    /** Returns the whole capacity of a worker, as if nothing ran on it. */
    static WorkerCapacity idle(WorkerEntry entry) {
        return new WorkerCapacity(entry, 0, Resources.NONE, false, 0, false);
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

    /** Returns whether the worker may be cold after an evacuation of its zone. */
    boolean isCold() {
        return cold;
    }

    /** Returns the free processor capacity in thousandths of a processor. */
    long freeProcessorMillis() {
        return freeProcessorMillis;
    }

    /** Returns what is free. */
    Resources free() {
        return new Resources(
                Math.max(0, freeProcessorMillis),
                Math.max(0, freeMemoryMegabytes),
                Math.max(0, freeAccelerators));
    }

    boolean hasLabelFor(StepDefinition step) {
        return step.requiredLabel()
                .map(label -> entry.worker().labels().contains(label))
                .orElse(true);
    }

    boolean holds(Resources resources) {
        return resources.processorMillis() <= freeProcessorMillis
                && resources.memoryMegabytes() <= freeMemoryMegabytes
                && resources.accelerators() <= freeAccelerators;
    }

    /** Returns how many tasks with these demands fit, at most the given number. */
    int tasksThatFit(Resources demand, int maximum) {
        long fit = maximum;
        fit = Math.min(fit, quotient(freeProcessorMillis, demand.processorMillis()));
        fit = Math.min(fit, quotient(freeMemoryMegabytes, demand.memoryMegabytes()));
        fit = Math.min(fit, quotient(freeAccelerators, demand.accelerators()));
        return (int) Math.max(0, fit);
    }

    private static long quotient(long free, long demand) {
        return demand <= 0 ? Long.MAX_VALUE : free / demand;
    }

    void reserve(Resources resources) {
        freeProcessorMillis -= resources.processorMillis();
        freeMemoryMegabytes -= resources.memoryMegabytes();
        freeAccelerators -= resources.accelerators();
    }

    void release(Resources resources) {
        freeProcessorMillis += resources.processorMillis();
        freeMemoryMegabytes += resources.memoryMegabytes();
        freeAccelerators += resources.accelerators();
    }

    /** Returns the number of filler runs. */
    int fillerRuns() {
        if (fillerRuns == NOT_COUNTED) {
            fillerRuns = (int) entry.runs().stream().filter(run -> run.step().filler()).count();
        }
        return fillerRuns;
    }

    /** Returns the number of runs with a latency target. */
    int latencyTargetRuns() {
        if (latencyTargetRuns == NOT_COUNTED) {
            latencyTargetRuns =
                    (int)
                            entry.runs().stream()
                                    .filter(run -> run.step().latencyTargetMilliseconds() > 0)
                                    .count();
        }
        return latencyTargetRuns;
    }
}
