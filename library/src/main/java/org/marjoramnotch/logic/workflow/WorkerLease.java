package org.marjoramnotch.logic.workflow;

import java.util.OptionalLong;

/**
 * Bounds the time until which a worker may keep its runs. A worker measures its lease on its own
 * clock, whose offset is learned from its answers and which may run slow; a grant without an answer
 * may still have arrived.
 */
final class WorkerLease {
    /** Covers the age of the clock reading behind the last grant of an earlier leader. */
    private static final long EARLIER_GRANT_MARGIN_MILLISECONDS = 250;

    /** Covers the granularity of both clocks. */
    private static final long EXPIRY_MARGIN_MILLISECONDS = 50;

    private static final int PERCENT = 100;

    private final long leaseMilliseconds;
    private final int driftPercent;
    private final long startedAt;
    private boolean sampled;
    private long sampledClock;
    private long sampleSentAt;
    private long sampleReceivedAt;
    private long grantedUntil;

    WorkerLease(WorkflowSettings settings, long nowMilliseconds) {
        this.leaseMilliseconds = settings.leaseMilliseconds();
        this.driftPercent = settings.workerClockDriftPercent();
        this.startedAt = nowMilliseconds;
    }

    /** Learns the worker's clock from an answer. */
    void onAnswer(long sentAt, long receivedAt, long workerClock) {
        if (!sampled) {
            grantedUntil = workerClock + leaseMilliseconds + EARLIER_GRANT_MARGIN_MILLISECONDS;
        }
        if (!sampled || sentAt >= sampleSentAt) {
            sampled = true;
            sampledClock = workerClock;
            sampleSentAt = sentAt;
            sampleReceivedAt = receivedAt;
        }
    }

    /** Returns the end of a lease from now on, on the worker's clock, and remembers the grant. */
    OptionalLong grant(long nowMilliseconds) {
        if (!sampled) {
            return OptionalLong.empty();
        }
        long until = sampledClock + (nowMilliseconds - sampleSentAt) + leaseMilliseconds;
        grantedUntil = Math.max(grantedUntil, until);
        return OptionalLong.of(until);
    }

    /** Tells whether every lease that was granted has surely run out. */
    boolean isOver(long nowMilliseconds) {
        long from = sampled ? sampleReceivedAt : startedAt;
        long left =
                sampled
                        ? Math.max(0, grantedUntil - sampledClock)
                        : leaseMilliseconds + EARLIER_GRANT_MARGIN_MILLISECONDS;
        long longest = left * PERCENT / (PERCENT - driftPercent) + EXPIRY_MARGIN_MILLISECONDS;
        return nowMilliseconds >= from + longest;
    }
}
