package org.marjoramnotch.logic.preemption;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.OptionalDouble;

/**
 * Measures how much capacity of a pool the ends of runs free, other than by preemption. Tasks that
 * start together end together: between two such waves nothing is freed, although much is on
 * average. Hence the rate is the smaller one of a long and a short window.
 */
final class FreedCapacityMeter {
    /** Wide tasks take 5 s; each of them ends once in this time. */
    private static final long LONG_WINDOW_MILLISECONDS = 5_000;

    /** Shorter than the slack of short work, which would be late after a window without ends. */
    private static final long SHORT_WINDOW_MILLISECONDS = 1_000;

    private record Freed(long at, long processorMillis) {}

    private final long startMilliseconds;
    private final Deque<Freed> ends = new ArrayDeque<>();
    private long sum;

    FreedCapacityMeter(long nowMilliseconds) {
        startMilliseconds = nowMilliseconds;
    }

    void add(long nowMilliseconds, long processorMillis) {
        ends.add(new Freed(nowMilliseconds, processorMillis));
        sum += processorMillis;
        discardOld(nowMilliseconds);
    }

    /**
     * Returns thousandths of a processor in a millisecond; empty before one short window has been
     * measured.
     */
    OptionalDouble perMillisecond(long nowMilliseconds) {
        discardOld(nowMilliseconds);
        long measured = Math.min(LONG_WINDOW_MILLISECONDS, nowMilliseconds - startMilliseconds);
        if (measured < SHORT_WINDOW_MILLISECONDS) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(
                Math.min(
                        (double) sum / measured,
                        (double) recent(nowMilliseconds) / SHORT_WINDOW_MILLISECONDS));
    }

    private long recent(long nowMilliseconds) {
        long recent = 0;
        Iterator<Freed> latestFirst = ends.descendingIterator();
        while (latestFirst.hasNext()) {
            Freed end = latestFirst.next();
            if (nowMilliseconds - end.at() >= SHORT_WINDOW_MILLISECONDS) {
                break;
            }
            recent += end.processorMillis();
        }
        return recent;
    }

    private void discardOld(long nowMilliseconds) {
        while (!ends.isEmpty()
                && nowMilliseconds - ends.element().at() >= LONG_WINDOW_MILLISECONDS) {
            sum -= ends.remove().processorMillis();
        }
    }
}
