package org.marjoramnotch.logic.workflow;

import java.util.OptionalLong;

/**
 * Grants leases to a worker and tracks an upper bound of the time until which it may continue its
 * runs. A worker measures its lease on its own clock, which may run slow and whose offset is
 * learned from answers. An unanswered grant may still have arrived.
 *
 * <p>Each grant is counted from the earliest time that the worker's clock may show, so that it is
 * never longer than the lease: the next leader, which knows no grant, waits for one lease.
 */
final class WorkerLease {
    /**
     * Age from which a reading of the clock should be replaced. A clock that runs slow by 2% makes
     * a grant shorter by up to 1.2 s then, which still outlasts the wait for a list.
     */
    static final long OLD_READING_MILLISECONDS = 60_000;

    /** Age up to which a reading shortens a grant by at most 200 ms. */
    private static final long RECENT_READING_MILLISECONDS = 10_000;

    /** Allows for calls that an earlier leader decided just before the term began. */
    private static final long EARLIER_GRANT_MARGIN_MILLISECONDS = 250;

    /** Allows for the resolution of both clocks. */
    private static final long EXPIRY_MARGIN_MILLISECONDS = 50;

    private static final int PERCENT = 100;

    private final long leaseMilliseconds;
    private final int driftPercent;
    private final long startedAt;
    private boolean hasClockSample;
    private long sampleClock;
    private long sampleSentAt;
    private long sampleReceivedAt;
    private long grantedUntil;
    private OptionalLong lastGrantAt = OptionalLong.empty();

    WorkerLease(WorkflowSettings settings, long nowMilliseconds) {
        this.leaseMilliseconds = settings.leaseMilliseconds();
        this.driftPercent = settings.workerClockDriftPercent();
        this.startedAt = nowMilliseconds;
    }

    /** Learns the worker's clock from an answer. */
    void onAnswer(long sentAt, long receivedAt, long workerClock) {
        if (!hasClockSample) {
            grantedUntil = workerClock + leaseMilliseconds + EARLIER_GRANT_MARGIN_MILLISECONDS;
        }
        if (!hasClockSample || sentAt >= sampleSentAt) {
            hasClockSample = true;
            sampleClock = workerClock;
            sampleSentAt = sentAt;
            sampleReceivedAt = receivedAt;
        }
    }

    /**
     * Grants a lease from now on and returns its end on the worker's clock; empty if that clock is
     * unknown.
     */
    OptionalLong grant(long nowMilliseconds) {
        if (!hasClockSample) {
            return OptionalLong.empty();
        }
        long until = earliestClock(nowMilliseconds) + leaseMilliseconds;
        grantedUntil = Math.max(grantedUntil, until);
        lastGrantAt = OptionalLong.of(nowMilliseconds);
        return OptionalLong.of(until);
    }

    /** Returns whether every granted lease has certainly expired. */
    boolean isOver(long nowMilliseconds) {
        if (hasClockSample) {
            return earliestClock(nowMilliseconds - EXPIRY_MARGIN_MILLISECONDS) >= grantedUntil;
        }
        long longest = leaseMilliseconds + EARLIER_GRANT_MARGIN_MILLISECONDS;
        return nowMilliseconds
                >= startedAt
                        + longest * PERCENT / (PERCENT - driftPercent)
                        + EXPIRY_MARGIN_MILLISECONDS;
    }

    /** Returns what is known about the lease. */
    LeaseEvidence evidence(long nowMilliseconds) {
        return new LeaseEvidence(
                hasClockSample ? OptionalLong.of(sampleClock) : OptionalLong.empty(),
                nowMilliseconds - (hasClockSample ? sampleReceivedAt : startedAt),
                hasClockSample ? OptionalLong.of(grantedUntil) : OptionalLong.empty(),
                lastGrantAt.isEmpty()
                        ? OptionalLong.empty()
                        : OptionalLong.of(nowMilliseconds - lastGrantAt.getAsLong()));
    }

    /** Returns whether the clock was read so long ago that grants become short. */
    boolean isReadingOld(long nowMilliseconds) {
        return hasClockSample && age(nowMilliseconds) >= OLD_READING_MILLISECONDS;
    }

    /** Returns whether the clock was read so recently that grants last almost the lease. */
    boolean isReadingRecent(long nowMilliseconds) {
        return hasClockSample && age(nowMilliseconds) < RECENT_READING_MILLISECONDS;
    }

    private long age(long nowMilliseconds) {
        return nowMilliseconds - sampleReceivedAt;
    }

    /** Returns a time that the worker's clock shows or has passed. */
    private long earliestClock(long nowMilliseconds) {
        long age = Math.max(0, age(nowMilliseconds));
        return sampleClock + age * (PERCENT - driftPercent) / PERCENT;
    }
}
