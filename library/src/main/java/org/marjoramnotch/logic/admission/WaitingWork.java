package org.marjoramnotch.logic.admission;

import java.util.NavigableMap;
import java.util.TreeMap;

/** An amount of waiting work by the priority of its queue. */
public final class WaitingWork {
    private final NavigableMap<Integer, Long> byPriority = new TreeMap<>();

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

    private static long sum(NavigableMap<Integer, Long> work) {
        return work.values().stream().mapToLong(amount -> amount).sum();
    }
}
