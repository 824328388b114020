package org.marjoramnotch.logic.placement;

/** Exponentially decayed counts of ended and failed attempts, and a moving average of run times. */
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

    /** Records the end of an attempt; a run time of 0 is not included in the average. */
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

    /** Returns the decayed number of ended attempts, as of the last call of {@link #record}. */
    double decayedEnds() {
        return decayedEnds;
    }

    /** Returns the decayed number of failed attempts, as of the last call of {@link #record}. */
    double decayedFailures() {
        return decayedFailures;
    }

    /** Returns the ratio of failed to ended attempts, from 0 to 1. */
    double failureRatio() {
        return decayedEnds == 0 ? 0 : decayedFailures / decayedEnds;
    }

    /** Returns the failure ratio, lowered while only few attempts have ended. */
    double smoothedFailureRatio() {
        return decayedFailures / (decayedEnds + PRIOR_SUCCESSES);
    }

    /** Returns whether there are enough samples to use the average run time. */
    boolean hasRunTimeEstimate() {
        return samples >= MINIMUM_SAMPLES;
    }

    /** Returns the average run time in milliseconds of attempts that did not fail. */
    double averageRunMilliseconds() {
        return averageRunMilliseconds;
    }

    /** Resets the counts of ended and failed attempts and keeps the average run time. */
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
