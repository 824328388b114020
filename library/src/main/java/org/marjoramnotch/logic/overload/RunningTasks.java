package org.marjoramnotch.logic.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Running tasks by the time at which they free their capacity. */
final class RunningTasks {
    /** Tasks of unknown start times are taken to end at this many times, evenly spread. */
    private static final int SLICES = 10;

    private record Tasks(double processorMillis, double restMilliseconds) {}

    private final List<Tasks> tasks = new ArrayList<>();
    private double processorMillis;
    private boolean sorted;

    void add(double reserved, double restMilliseconds) {
        tasks.add(new Tasks(reserved, restMilliseconds));
        processorMillis += reserved;
        sorted = false;
    }

    void addAll(RunningTasks other) {
        other.tasks.forEach(running -> add(running.processorMillis(), running.restMilliseconds()));
    }

    /** Adds tasks whose start times are not known. */
    void addSpread(double reserved, double runMilliseconds) {
        for (int slice = 0; slice < SLICES; slice++) {
            add(reserved / SLICES, runMilliseconds * (slice + 0.5) / SLICES);
        }
    }

    /**
     * Returns how long new work waits.
     *
     * @param capacity what running and new tasks share, in thousandths of a processor
     * @param work the core time of the new work and of that before it
     * @param runMilliseconds mean run time of its tasks: when the last of them starts, those that
     *     run beside it have half of their run time left
     */
    double waitMilliseconds(double capacity, double work, double runMilliseconds) {
        if (!sorted) {
            tasks.sort(Comparator.comparingDouble(Tasks::restMilliseconds));
            sorted = true;
        }
        double available = capacity - processorMillis;
        double time = 0;
        double done = 0;
        for (Tasks next : tasks) {
            double rate = Math.max(0, available);
            double needed = work - rate * runMilliseconds / 2 - done;
            double served = rate * (next.restMilliseconds() - time);
            if (needed <= served) {
                return needed <= 0 ? time : time + needed / rate;
            }
            done += served;
            time = next.restMilliseconds();
            available += next.processorMillis();
        }
        double needed = work - capacity * runMilliseconds / 2 - done;
        return time + Math.max(0, needed) / capacity;
    }
}
