package org.marjoramnotch.logic.replication;

import java.util.EnumMap;
import java.util.Map;

/** Counts what simulated runs met. */
public final class Coverage {
    private final Map<CoveredEvent, Long> counts = new EnumMap<>(CoveredEvent.class);

    public void count(CoveredEvent covered) {
        counts.merge(covered, 1L, Long::sum);
    }

    void add(Coverage other) {
        other.counts.forEach((covered, count) -> counts.merge(covered, count, Long::sum));
    }

    long of(CoveredEvent covered) {
        return counts.getOrDefault(covered, 0L);
    }

    @Override
    public String toString() {
        return counts.toString();
    }
}
