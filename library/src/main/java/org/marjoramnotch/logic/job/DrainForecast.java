package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;

/**
 * Forecasts from learned run times when workers will have enough free capacity for a number of
 * tasks.
 */
final class DrainForecast {
    private static final long MINIMUM_OVERRUN_MILLISECONDS = 1_000;

    private final RunTimeEstimates runTimes;
    private final long nowMilliseconds;
    private final List<CapacityGain> capacityGains = new ArrayList<>();

    DrainForecast(RunTimeEstimates runTimes, long nowMilliseconds) {
        this.runTimes = runTimes;
        this.nowMilliseconds = nowMilliseconds;
    }

    /**
     * Returns the workers that will be the first to have capacity for all tasks, and when; empty if
     * the workers never will.
     */
    Optional<DrainedWorkers> forecast(List<WorkerSession> workers, Resources perTask, int tasks) {
        workers.forEach(worker -> addCapacityGains(worker, perTask));
        capacityGains.sort(
                Comparator.comparingLong(CapacityGain::atMilliseconds)
                        .thenComparing(gain -> gain.worker().id()));
        Set<WorkerSession> chosen = new LinkedHashSet<>();
        long fittingTasks = 0;
        for (CapacityGain gain : capacityGains) {
            fittingTasks += gain.tasks();
            chosen.add(gain.worker());
            if (fittingTasks >= tasks) {
                return Optional.of(new DrainedWorkers(gain.atMilliseconds(), List.copyOf(chosen)));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns when a run is expected to end. An overdue run is assumed to go on for half of the
     * time that it has run so far, and for at least {@link #MINIMUM_OVERRUN_MILLISECONDS}.
     */
    long expectedEnd(TaskEntry task) {
        long ran = nowMilliseconds - task.phaseStartMilliseconds;
        long left = runTimes.ninetiethPercentile(task.job) - ran;
        long overrun = Math.max(MINIMUM_OVERRUN_MILLISECONDS, ran / 2);
        return nowMilliseconds + (left > 0 ? left : overrun);
    }

    private void addCapacityGains(WorkerSession worker, Resources perTask) {
        List<ExpectedRunEnd> runEnds = new ArrayList<>();
        for (TaskEntry task : worker.entry.runs()) {
            if (task.job.policy != QueuePolicy.SERVICE) {
                runEnds.add(new ExpectedRunEnd(expectedEnd(task), task.job.perTask()));
            }
        }
        runEnds.sort(Comparator.comparingLong(ExpectedRunEnd::atMilliseconds));
        Resources free = worker.free();
        long fittingTasks = ResourceDimension.tasksThatFit(perTask, free);
        addCapacityGain(nowMilliseconds, worker, fittingTasks);
        for (ExpectedRunEnd runEnd : runEnds) {
            free = free.plus(runEnd.freed());
            long newFittingTasks = ResourceDimension.tasksThatFit(perTask, free);
            addCapacityGain(runEnd.atMilliseconds(), worker, newFittingTasks - fittingTasks);
            fittingTasks = newFittingTasks;
        }
    }

    private void addCapacityGain(long atMilliseconds, WorkerSession worker, long tasks) {
        if (tasks > 0) {
            capacityGains.add(new CapacityGain(atMilliseconds, worker, tasks));
        }
    }

    /** The workers that will have enough capacity, and the time at which they will. */
    record DrainedWorkers(long atMilliseconds, List<WorkerSession> workers) {}

    private record ExpectedRunEnd(long atMilliseconds, Resources freed) {}

    private record CapacityGain(long atMilliseconds, WorkerSession worker, long tasks) {}
}
