package org.marjoramnotch.logic.entry;

/**
 * Limits further attempts of a team's requests to a fraction of its first attempts, so that retries
 * cannot multiply the load of failing endpoints. One instance per team and entry.
 */
public final class RetryBudget {
    /** Further attempts earned by each first attempt. */
    public static final double DEFAULT_FRACTION = 0.1;

    /** Further attempts that may be saved up. */
    public static final int DEFAULT_BURST = 10;

    private final double fraction;
    private final int burst;
    private double available;

    /** Creates a budget with its burst available. */
    public RetryBudget(double fraction, int burst) {
        this.fraction = fraction;
        this.burst = burst;
        this.available = burst;
    }

    /** Creates a budget of {@link #DEFAULT_FRACTION} and {@link #DEFAULT_BURST}. */
    public static RetryBudget withDefaults() {
        return new RetryBudget(DEFAULT_FRACTION, DEFAULT_BURST);
    }

    /** Counts the first attempt of a request. */
    public void onFirstAttempt() {
        available = Math.min(burst, available + fraction);
    }

    /** Takes a further attempt from the budget; false when it is used up. */
    public boolean tryRetry() {
        if (available < 1) {
            return false;
        }
        available -= 1;
        return true;
    }
}
