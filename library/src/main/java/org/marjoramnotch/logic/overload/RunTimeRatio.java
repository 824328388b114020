package org.marjoramnotch.logic.overload;

/**
 * Measured ratio of run time to estimate of the latest runs of a queue, weighted by what they would
 * use by their estimates: estimates that are wrong by a constant factor.
 */
public final class RunTimeRatio {
    /** Share of the earlier runs that each run replaces; about fifty runs are remembered. */
    private static final double FORGETTING = 0.02;

    /** Estimates are wrong by a factor of 2 to 10; a larger one is a fault of single runs. */
    private static final double LARGEST_RATIO = 10;

    private double actual;
    private double estimated;

    /** Adds a run that completed. */
    public void add(long estimateMilliseconds, long runMilliseconds) {
        actual = actual * (1 - FORGETTING) + runMilliseconds;
        estimated = estimated * (1 - FORGETTING) + Math.max(1, estimateMilliseconds);
    }

    /** Returns the ratio; 1 if there were no runs. */
    public double value() {
        return estimated == 0
                ? 1
                : Math.max(1 / LARGEST_RATIO, Math.min(LARGEST_RATIO, actual / estimated));
    }
}
