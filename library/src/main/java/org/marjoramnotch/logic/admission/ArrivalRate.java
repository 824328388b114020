package org.marjoramnotch.logic.admission;

/** The rate of recent arrivals, which older ones influence exponentially less. */
final class ArrivalRate {
    /** About the latency objective of short work, for which a burst has to be seen early. */
    private static final double WINDOW_MILLISECONDS = 1_000;

    private double sum;
    private long atMilliseconds;

    void add(long nowMilliseconds, double amount) {
        decay(nowMilliseconds);
        sum += amount;
    }

    /** Returns the rate per millisecond. */
    double value(long nowMilliseconds) {
        decay(nowMilliseconds);
        return sum / WINDOW_MILLISECONDS;
    }

    private void decay(long nowMilliseconds) {
        long passed = Math.max(0, nowMilliseconds - atMilliseconds);
        sum *= Math.exp(-passed / WINDOW_MILLISECONDS);
        atMilliseconds += passed;
    }
}
