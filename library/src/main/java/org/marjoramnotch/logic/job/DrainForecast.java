package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;

/** Expects when workers will have room for the tasks of a gang, from learned run times. */
final class DrainForecast {
    private static final long MINIMUM_OVERRUN_MILLISECONDS = 1_000;

    private final RunTimeEstimates runTimes;
    private final long nowMilliseconds;
    private final List<CapacityGain> capacityGains = new ArrayList<>();

    DrainForecast(RunTimeEstimates runTimes, long nowMilliseconds) {
        this.runTimes = runTimes;
        this.nowMilliseconds = nowMilliseconds;
    }

    /** Returns the fewest workers, by time, that will hold all tasks, and when they will. */
    Optional<DrainedWorkers> forecast(List<WorkerSession> workers, Resources perTask, int tasks) {
        workers.forEach(worker -> addCapacityGains(worker, perTask));
        capacityGains.sort(
                Comparator.comparingLong(CapacityGain::atMilliseconds)
                        .thenComparing(room -> room.worker().id()));
        Set<WorkerSession> chosen = new LinkedHashSet<>();
        long held = 0;
        for (CapacityGain room : capacityGains) {
            held += room.tasks();
            chosen.add(room.worker());
            if (held >= tasks) {
                return Optional.of(new DrainedWorkers(room.atMilliseconds(), List.copyOf(chosen)));
            }
        }
        return Optional.empty();
    }

    /** Returns when a run is expected to end; one that is overdue goes on for half its time. */
    long expectedEnd(TaskEntry task) {
        long ran = nowMilliseconds - task.phaseStartMilliseconds;
        long left = runTimes.ninetiethPercentile(task.job) - ran;
        long overrun = Math.max(MINIMUM_OVERRUN_MILLISECONDS, ran / 2);
        return nowMilliseconds + (left > 0 ? left : overrun);
    }

    private void addCapacityGains(WorkerSession worker, Resources perTask) {
        List<ExpectedRunEnd> endings = new ArrayList<>();
        for (TaskEntry task : worker.entry.runs()) {
            if (task.job.policy != QueuePolicy.SERVICE) {
                endings.add(new ExpectedRunEnd(expectedEnd(task), task.job.perTask()));
            }
        }
        endings.sort(Comparator.comparingLong(ExpectedRunEnd::atMilliseconds));
        Resources free = worker.free();
        long held = ResourceDimension.tasksThatFit(perTask, free);
        addCapacityGain(nowMilliseconds, worker, held);
        for (ExpectedRunEnd ending : endings) {
            free = free.plus(ending.freed());
            long holds = ResourceDimension.tasksThatFit(perTask, free);
            addCapacityGain(ending.atMilliseconds(), worker, holds - held);
            held = holds;
        }
    }

    private void addCapacityGain(long atMilliseconds, WorkerSession worker, long tasks) {
        if (tasks > 0) {
            capacityGains.add(new CapacityGain(atMilliseconds, worker, tasks));
        }
    }

    /** Workers that will have room. */
    record DrainedWorkers(long atMilliseconds, List<WorkerSession> workers) {}

    private record ExpectedRunEnd(long atMilliseconds, Resources freed) {}

    private record CapacityGain(long atMilliseconds, WorkerSession worker, long tasks) {}
}
