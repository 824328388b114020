package org.marjoramnotch.logic.cell;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in virtual time, so that several of them happen within one millisecond. */
final class MicrosecondTimeline {
    static final long MILLISECOND = 1_000;

    private record Event(long at, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long order;
    private long now;

    long now() {
        return now;
    }

    void after(long microseconds, Runnable action) {
        events.add(new Event(now + microseconds, order++, action));
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.remove();
            now = event.at();
            event.action().run();
        }
        now = end;
    }
}
