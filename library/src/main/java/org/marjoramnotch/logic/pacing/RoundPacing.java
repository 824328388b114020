package org.marjoramnotch.logic.pacing;

/**
 * Decides when a scheduling round may follow the one before. Answers a rush on a large fleet: each
 * round iterates over all workers and active workflows, and hundreds of changes each second would
 * each cause one, so that the leader has no time left to send orders and renew its lease.
 */
public final class RoundPacing {
    /**
     * How many workers and workflows add one millisecond to the interval. A round of 430 of them
     * takes about 5 ms on 0.6 of a core, so that rounds take at most a quarter of the time.
     */
    private static final int ITEMS_PER_MILLISECOND = 20;

    /** A tenth of the time that the tightest objectives allow beside the work itself (300 ms). */
    private static final long LONGEST_INTERVAL_MILLISECONDS = 30;

    private long nextAt = Long.MIN_VALUE;

    /** Returns whether a round may run now. */
    public boolean mayRun(long nowMilliseconds) {
        return nowMilliseconds >= nextAt;
    }

    /**
     * Handles a round.
     *
     * @param items number of workers and active workflows
     */
    public void onRound(long nowMilliseconds, int items) {
        nextAt =
                nowMilliseconds
                        + Math.min(LONGEST_INTERVAL_MILLISECONDS, items / ITEMS_PER_MILLISECOND);
    }
}
