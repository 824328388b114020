package org.marjoramnotch.logic.admission;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Spreads the times at which refused callers may return. Callers that are refused together come
 * back one after the other, at the rate at which work is taken off, and those of a higher priority
 * before those of a lower one.
 */
final class ReturnSchedule {
    private final NavigableMap<Integer, Long> lastByPriority = new TreeMap<>();

    /**
     * Reserves the next turn. Turns after the latest one start again at the earliest, so that
     * callers beyond that share the time instead of returning all at its end.
     *
     * @param earliestAt when the backlog will be short enough
     * @param intervalMilliseconds pause after the turn of the caller before
     * @param latestAt the latest turn
     * @return when the caller may return
     */
    long reserve(long earliestAt, long intervalMilliseconds, int priority, long latestAt) {
        long last =
                lastByPriority.headMap(priority, true).values().stream()
                        .mapToLong(at -> at)
                        .max()
                        .orElse(Long.MIN_VALUE / 2);
        long next = Math.max(earliestAt, last + intervalMilliseconds);
        long at = next <= latestAt ? next : Math.min(earliestAt, latestAt);
        lastByPriority.put(priority, at);
        return at;
    }
}
