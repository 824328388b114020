package org.marjoramnotch.logic.replication;

import java.util.EnumMap;
import java.util.Map;

/** Counts the events that occurred in simulated runs. */
public final class Coverage {
    private final Map<CoveredEvent, Long> counts = new EnumMap<>(CoveredEvent.class);

    public void count(CoveredEvent event) {
        counts.merge(event, 1L, Long::sum);
    }

    void add(Coverage other) {
        other.counts.forEach((event, count) -> counts.merge(event, count, Long::sum));
    }

    long of(CoveredEvent event) {
        return counts.getOrDefault(event, 0L);
    }

    @Override
    public String toString() {
        return counts.toString();
    }
}
