package org.marjoramnotch.logic.workflow;

/** The lease of a simulated worker, in milliseconds of the worker's clock. */
final class SimulatedLease {
    private static final long MAXIMUM_MILLISECONDS = 10_000;

    private long until;
    private boolean held;

    void extend(long clock, long newUntil) {
        until = Math.max(until, Math.min(newUntil, clock + MAXIMUM_MILLISECONDS));
        held |= !isOver(clock);
    }

    boolean isOver(long clock) {
        return clock >= until;
    }

    /** Returns whether the lease has lapsed since the last call. */
    boolean lapse(long clock) {
        boolean lapsed = held && isOver(clock);
        held &= !lapsed;
        return lapsed;
    }
}
