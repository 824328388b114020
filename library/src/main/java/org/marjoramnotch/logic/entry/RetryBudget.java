package org.marjoramnotch.logic.entry;

/**
 * Limits the retries of a team's requests to a fraction of its first attempts, so that retries
 * cannot multiply the load on failing endpoints. Each entry has one instance per team.
 */
public final class RetryBudget {
    /** Retries added to the budget by each first attempt. */
    public static final double DEFAULT_FRACTION = 0.1;

    /** Maximum number of retries that can accumulate in the budget. */
    public static final int DEFAULT_BURST = 10;

    private final double fraction;
    private final int burst;
    private double available;

    /** Creates a budget that initially permits a full burst of retries. */
    public RetryBudget(double fraction, int burst) {
        this.fraction = fraction;
        this.burst = burst;
        this.available = burst;
    }

    /** Creates a budget with {@link #DEFAULT_FRACTION} and {@link #DEFAULT_BURST}. */
    public static RetryBudget withDefaults() {
        return new RetryBudget(DEFAULT_FRACTION, DEFAULT_BURST);
    }

    /** Records the first attempt of a request. */
    public void onFirstAttempt() {
        available = Math.min(burst, available + fraction);
    }

    /** Takes a retry from the budget. Returns false if the budget is used up. */
    public boolean tryRetry() {
        if (available < 1) {
            return false;
        }
        available -= 1;
        return true;
    }
}
