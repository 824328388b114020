package org.marjoramnotch.logic.placement;

/** Exponentially decayed counts of ends and failures, and a moving average of running times. */
final class AttemptStatistics {
    static final double HALF_LIFE_MILLISECONDS = 10_000;
    private static final double MINIMUM_SAMPLE_WEIGHT = 0.05;
    private static final int MINIMUM_SAMPLES = 16;
    private static final int PRIOR_SUCCESSES = 4;

    private double decayedEnds;
    private double decayedFailures;
    private long decayedMilliseconds;
    private double averageRunMilliseconds;
    private long samples;

    /** Takes the end of an attempt; the running time counts unless it is 0. */
    void record(long nowMilliseconds, boolean failed, long ranMilliseconds) {
        decay(nowMilliseconds);
        decayedEnds += 1;
        decayedFailures += failed ? 1 : 0;
        if (ranMilliseconds > 0 && !failed) {
            samples++;
            double weight = Math.max(MINIMUM_SAMPLE_WEIGHT, 1.0 / samples);
            averageRunMilliseconds += weight * (ranMilliseconds - averageRunMilliseconds);
        }
    }

    /** Returns the decayed number of ends, as of the last record. */
    double decayedEnds() {
        return decayedEnds;
    }

    /** Returns the decayed number of failures, as of the last record. */
    double decayedFailures() {
        return decayedFailures;
    }

    /** Returns failures by ends, from 0 to 1. */
    double failureRatio() {
        return decayedEnds == 0 ? 0 : decayedFailures / decayedEnds;
    }

    /** Returns the same, held down while few ends are known. */
    double smoothedFailureRatio() {
        return decayedFailures / (decayedEnds + PRIOR_SUCCESSES);
    }

    /** Tells whether enough running times are known to go by their average. */
    boolean hasRunTimeEstimate() {
        return samples >= MINIMUM_SAMPLES;
    }

    /** Returns the average running time of attempts that did not fail. */
    double averageRunMilliseconds() {
        return averageRunMilliseconds;
    }

    /** Forgets failures; what is known of running times stays. */
    void resetFailureCounts() {
        decayedEnds = 0;
        decayedFailures = 0;
    }

    private void decay(long nowMilliseconds) {
        double age = Math.max(0, nowMilliseconds - decayedMilliseconds);
        double factor = Math.pow(0.5, age / HALF_LIFE_MILLISECONDS);
        decayedEnds *= factor;
        decayedFailures *= factor;
        decayedMilliseconds = nowMilliseconds;
    }
}
