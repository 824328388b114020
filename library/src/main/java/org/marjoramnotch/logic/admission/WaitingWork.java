package org.marjoramnotch.logic.admission;

import java.util.NavigableMap;
import java.util.TreeMap;
import org.marjoramnotch.logic.overload.Backlog;

/** An amount of waiting work by the priority of its queue. */
public final class WaitingWork {
    private final NavigableMap<Integer, Long> byPriority = new TreeMap<>();

    /** Returns work of one priority. */
    static WaitingWork of(int priority, long amount) {
        WaitingWork work = new WaitingWork();
        work.add(priority, amount);
        return work;
    }

    /** Adds waiting work. */
    public void add(int priority, long amount) {
        byPriority.merge(priority, amount, Long::sum);
    }

    /** Returns the work that comes before new work of a priority, with that of the same one. */
    public long before(int priority) {
        return sum(byPriority.headMap(priority, true));
    }

    /** Returns all work. */
    public long total() {
        return sum(byPriority);
    }

    /**
     * Returns the core time of the work and of running tasks if each takes the mean run time.
     *
     * @param running the processor demand of the running tasks
     */
    Backlog toBacklog(double running, double meanRunMilliseconds) {
        Backlog backlog = new Backlog();
        backlog.addRunning(running, meanRunMilliseconds);
        byPriority.forEach(
                (priority, amount) ->
                        backlog.addWaiting(priority, amount, amount * meanRunMilliseconds));
        return backlog;
    }

    private static long sum(NavigableMap<Integer, Long> work) {
        return work.values().stream().mapToLong(amount -> amount).sum();
    }
}
