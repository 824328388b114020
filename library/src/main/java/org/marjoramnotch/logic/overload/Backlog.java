package org.marjoramnotch.logic.overload;

import java.util.Collection;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The accepted work of a pool or of a team whose result still has a value, in core time:
 * thousandths of a processor times milliseconds. Amounts are doubles, since those that callers send
 * may be huge.
 */
public final class Backlog {
    /** Keeps waits finite where standing tasks hold all capacity. */
    private static final double LEAST_RATE_SHARE = 0.01;

    private final NavigableMap<Integer, WorkBySize> byPriority = new TreeMap<>();
    private final RunningTasks running = new RunningTasks();
    private double runningHalf;
    private double standingProcessorMillis;
    private double preemptibleProcessorMillis;

    /**
     * Adds the tasks of an item that wait, also those of steps that aren't ready.
     *
     * @param processorMillis processor demand of the tasks
     * @param processorTime their core time
     */
    public void addWaiting(int priority, double processorMillis, double processorTime) {
        byPriority
                .computeIfAbsent(priority, key -> new WorkBySize())
                .add(processorTime, processorMillis);
    }

    /**
     * Adds running tasks.
     *
     * @param restMilliseconds how long they still run
     * @param expectedMilliseconds their run time
     */
    public void addRunning(
            double processorMillis, double restMilliseconds, double expectedMilliseconds) {
        running.add(processorMillis, restMilliseconds);
        runningHalf += processorMillis * expectedMilliseconds / 2;
    }

    /** Adds running tasks whose start times are not known. */
    public void addRunning(double processorMillis, double expectedMilliseconds) {
        running.addSpread(processorMillis, expectedMilliseconds);
        runningHalf += processorMillis * expectedMilliseconds / 2;
    }

    /** Adds the capacity of running tasks that may be stopped for urgent work. */
    public void addPreemptible(double processorMillis) {
        preemptibleProcessorMillis += processorMillis;
    }

    /** Returns the capacity that may be freed for urgent work, in thousandths of a processor. */
    public double preemptibleProcessorMillis() {
        return preemptibleProcessorMillis;
    }

    /** Adds running tasks that keep their capacity until they are cancelled. */
    public void addStanding(double processorMillis) {
        standingProcessorMillis += processorMillis;
    }

    /**
     * Returns the core time that is served before new work.
     *
     * @param priority the priority of the new work
     * @param processorTime the core time of the new work
     */
    public double before(int priority, double processorTime) {
        return byPriority.headMap(priority, true).values().stream()
                .mapToDouble(work -> work.before(processorTime))
                .sum();
    }

    /** Returns the core time of all waiting work that has a lower priority than new work. */
    public double after(int priority) {
        return byPriority.tailMap(priority, false).values().stream()
                .mapToDouble(WorkBySize::total)
                .sum();
    }

    /** Returns half of the core time of the running tasks. */
    public double runningHalf() {
        return runningHalf;
    }

    /** Returns the capacity that standing tasks hold, in thousandths of a processor. */
    public double standingProcessorMillis() {
        return standingProcessorMillis;
    }

    /** Returns the part of a capacity that serves work beside standing tasks. */
    public static double rate(double capacityProcessorMillis, double standingProcessorMillis) {
        return Math.max(
                capacityProcessorMillis * LEAST_RATE_SHARE,
                capacityProcessorMillis - standingProcessorMillis);
    }

    /**
     * Returns how long new work waits for the capacity that running tasks free.
     *
     * @param backlogs those that share the capacity
     * @param rate the capacity, without that of standing tasks
     * @param priority the priority of the new work
     * @param processorTime the core time of the new work and of that before it
     * @param meanRunMilliseconds the run time of its tasks if no work waits before it
     */
    public static double waitMilliseconds(
            Collection<Backlog> backlogs,
            double rate,
            int priority,
            double processorTime,
            double meanRunMilliseconds) {
        RunningTasks all = new RunningTasks();
        double demand = 0;
        double work = 0;
        for (Backlog backlog : backlogs) {
            all.addAll(backlog.running);
            Map<Integer, WorkBySize> before = backlog.byPriority.headMap(priority, true);
            for (WorkBySize size : before.values()) {
                demand += size.demand();
                work += size.total();
            }
        }
        return all.waitMilliseconds(
                rate, processorTime, demand == 0 ? meanRunMilliseconds : work / demand);
    }
}
