package org.marjoramnotch.logic.job;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

/** Runs actions when they are due, ordered by due time and then by the order of scheduling. */
final class TimerQueue {
    private final Queue<Timer> timers =
            new PriorityQueue<>(
                    Comparator.comparingLong(Timer::dueMilliseconds)
                            .thenComparingLong(Timer::sequence));
    private long lastSequence;

    void schedule(long atMilliseconds, Runnable action) {
        lastSequence++;
        timers.add(new Timer(atMilliseconds, lastSequence, action));
    }

    /**
     * Runs the actions that are due. Actions that they schedule run in a later call, even if they
     * are due at the same time.
     */
    void runDue(long nowMilliseconds) {
        long last = lastSequence;
        while (isDue(nowMilliseconds, last)) {
            timers.remove().action().run();
        }
    }

    private boolean isDue(long nowMilliseconds, long last) {
        Timer first = timers.peek();
        return first != null
                && first.dueMilliseconds() <= nowMilliseconds
                && first.sequence() <= last;
    }

    private record Timer(long dueMilliseconds, long sequence, Runnable action) {}
}
