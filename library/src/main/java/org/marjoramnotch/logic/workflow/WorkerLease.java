package org.marjoramnotch.logic.workflow;

import java.util.OptionalLong;

/**
 * Tracks an upper bound of the time until which a worker may continue its runs. A worker measures
 * its lease on its own clock, which may run slow and whose offset is learned from answers. An
 * unanswered grant may still have arrived.
 */
final class WorkerLease {
    /**
     * Allows for the age of the clock reading on which the last grant of an earlier leader was
     * based.
     */
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
        long until = sampleClock + (nowMilliseconds - sampleSentAt) + leaseMilliseconds;
        grantedUntil = Math.max(grantedUntil, until);
        return OptionalLong.of(until);
    }

    /** Returns whether every granted lease has certainly expired. */
    boolean isOver(long nowMilliseconds) {
        long from = hasClockSample ? sampleReceivedAt : startedAt;
        long remaining =
                hasClockSample
                        ? Math.max(0, grantedUntil - sampleClock)
                        : leaseMilliseconds + EARLIER_GRANT_MARGIN_MILLISECONDS;
        long longest = remaining * PERCENT / (PERCENT - driftPercent) + EXPIRY_MARGIN_MILLISECONDS;
        return nowMilliseconds >= from + longest;
    }
}
