package org.marjoramnotch.logic.placement;

/** Exponentially decayed counts of ends and failures, and a moving average of running times. */
final class RunAverages {
    static final double HALF_LIFE_MILLISECONDS = 10_000;
    private static final double LATEST_WEIGHT = 0.05;
    private static final int LEAST_SAMPLES = 16;
    private static final int PRESUMED_SUCCESSES = 4;

    private double ends;
    private double failures;
    private long decayedMilliseconds;
    private double runMilliseconds;
    private long samples;

    /** Takes the end of an attempt; the running time counts unless it is 0. */
    void record(long nowMilliseconds, boolean failed, long ranMilliseconds) {
        decay(nowMilliseconds);
        ends += 1;
        failures += failed ? 1 : 0;
        if (ranMilliseconds > 0 && !failed) {
            samples++;
            double weight = Math.max(LATEST_WEIGHT, 1.0 / samples);
            runMilliseconds += weight * (ranMilliseconds - runMilliseconds);
        }
    }

    /** Returns the decayed number of ends, as of the last record. */
    double ends() {
        return ends;
    }

    /** Returns the decayed number of failures, as of the last record. */
    double failures() {
        return failures;
    }

    /** Returns failures by ends, from 0 to 1. */
    double failureRatio() {
        return ends == 0 ? 0 : failures / ends;
    }

    /** Returns the same, held down while few ends are known. */
    double cautiousFailureRatio() {
        return failures / (ends + PRESUMED_SUCCESSES);
    }

    /** Tells whether enough running times are known to go by their average. */
    boolean knowsRunTime() {
        return samples >= LEAST_SAMPLES;
    }

    /** Returns the average running time of attempts that did not fail. */
    double runMilliseconds() {
        return runMilliseconds;
    }

    /** Forgets failures; what is known of running times stays. */
    void forgetFailures() {
        ends = 0;
        failures = 0;
    }

    private void decay(long nowMilliseconds) {
        double age = Math.max(0, nowMilliseconds - decayedMilliseconds);
        double factor = Math.pow(0.5, age / HALF_LIFE_MILLISECONDS);
        ends *= factor;
        failures *= factor;
        decayedMilliseconds = nowMilliseconds;
    }
}
