package org.marjoramnotch.logic.replication;

/** The steady clock of a VM, which drifts and stands still while the VM is suspended. */
public final class SimulatedClock {
    private final double rate;
    private long offset;
    private long suspendedFrom;
    private long suspendedUntil;
    private long missed;

    /** Creates a clock that runs at the given multiple of real time. */
    public SimulatedClock(double rate) {
        this.rate = rate;
    }

    /** Returns what the clock shows; a time must not be before the last suspension. */
    public long read(long time) {
        long missedNow = Math.max(0, Math.min(time, suspendedUntil) - suspendedFrom);
        return offset + (long) ((time - missed - missedNow) * rate);
    }

    /** Returns whether the clock stands still. */
    public boolean isSuspended(long time) {
        return time >= suspendedFrom && time < suspendedUntil;
    }

    /** Stops the clock for some time, unless it stands still already. */
    public void suspend(long from, long until) {
        if (!isSuspended(from)) {
            missed += suspendedUntil - suspendedFrom;
            suspendedFrom = from;
            suspendedUntil = until;
        }
    }

    /** Sets the clock to another origin, as at a restart. */
    public void restart(long newOffset) {
        offset = newOffset;
        missed = 0;
        suspendedFrom = 0;
        suspendedUntil = 0;
    }
}
