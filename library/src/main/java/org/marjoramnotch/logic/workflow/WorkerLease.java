package org.marjoramnotch.logic.workflow;

import java.util.Optional;
import java.util.OptionalLong;
import org.marjoramnotch.model.fleet.InheritedLease;

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
    private final long earlierGrantMilliseconds;
    private final OptionalLong inheritedUntil;
    private final boolean firstCaller;
    private final int driftPercent;
    private final long startedAt;
    private boolean hasClockSample;
    private long sampleClock;
    private long sampleSentAt;
    private long sampleReceivedAt;
    private long earlierGrantsUntil;
    private long grantedUntil;
    private OptionalLong lastGrantAt = OptionalLong.empty();
    private int openGrants;

    private WorkerLease(
            WorkflowSettings settings,
            long earlierGrantMilliseconds,
            OptionalLong inheritedUntil,
            boolean firstCaller,
            long nowMilliseconds) {
        this.leaseMilliseconds = settings.leaseMilliseconds();
        this.earlierGrantMilliseconds = earlierGrantMilliseconds;
        this.inheritedUntil = inheritedUntil;
        this.firstCaller = firstCaller;
        this.driftPercent = settings.workerClockDriftPercent();
        this.startedAt = nowMilliseconds;
    }

    /** Returns the lease of a worker that only got grants by its own clock. */
    static WorkerLease byOwnClock(WorkflowSettings settings, long nowMilliseconds) {
        return new WorkerLease(
                settings,
                settings.leaseMilliseconds(),
                OptionalLong.empty(),
                false,
                nowMilliseconds);
    }

    /** Returns the lease of a worker that nobody has called under its name before. */
    static WorkerLease ofFirstCaller(WorkflowSettings settings, long nowMilliseconds) {
        return new WorkerLease(
                settings,
                settings.leaseMilliseconds(),
                OptionalLong.empty(),
                true,
                nowMilliseconds);
    }

    /**
     * Returns the lease of a worker that may have got a grant by the clock of its earlier
     * incarnation, before the first call with a token of its own. Only the worker limits its
     * length.
     *
     * @param known what an earlier leader, or this one in earlier duties, has recorded of it
     */
    static WorkerLease possiblyInherited(
            WorkflowSettings settings, Optional<InheritedLease> known, long nowMilliseconds) {
        long longest =
                known.map(InheritedLease::longestMilliseconds)
                        .orElse(settings.longestLeaseMilliseconds());
        OptionalLong until =
                known.map(lease -> OptionalLong.of(lease.until())).orElse(OptionalLong.empty());
        return new WorkerLease(
                settings,
                Math.max(longest, settings.leaseMilliseconds()),
                until,
                false,
                nowMilliseconds);
    }

    /** Learns the worker's clock from an answer. */
    void onAnswer(long sentAt, long receivedAt, long workerClock) {
        if (!hasClockSample) {
            long byOwnClock = workerClock + leaseMilliseconds + EARLIER_GRANT_MARGIN_MILLISECONDS;
            earlierGrantsUntil =
                    inheritedUntil.orElse(
                            workerClock
                                    + earlierGrantMilliseconds
                                    + EARLIER_GRANT_MARGIN_MILLISECONDS);
            grantedUntil = Math.max(byOwnClock, earlierGrantsUntil);
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
        openGrants++;
        return OptionalLong.of(until);
    }

    /** Handles the answer of the worker to a call that grants a lease. */
    void onGrantAnswered() {
        openGrants--;
    }

    /** Returns whether a grant may have reached another incarnation instead of this one. */
    boolean hasOpenGrants() {
        return !firstCaller || openGrants > 0;
    }

    /** Returns whether every granted lease has certainly expired. */
    boolean isOver(long nowMilliseconds) {
        if (hasClockSample) {
            return isPast(nowMilliseconds, grantedUntil);
        }
        return isOverSinceStart(nowMilliseconds, earlierGrantMilliseconds);
    }

    /**
     * Returns whether every lease has certainly expired that was granted by the worker's own clock.
     */
    boolean isOwnOver(long nowMilliseconds) {
        return hasClockSample
                ? isOver(nowMilliseconds)
                : isOverSinceStart(nowMilliseconds, leaseMilliseconds);
    }

    private boolean isOverSinceStart(long nowMilliseconds, long lease) {
        long longest = lease + EARLIER_GRANT_MARGIN_MILLISECONDS;
        return nowMilliseconds
                >= startedAt
                        + longest * PERCENT / (PERCENT - driftPercent)
                        + EXPIRY_MARGIN_MILLISECONDS;
    }

    /** Returns the longest lease that the worker may have held at the first answer. */
    long longestEarlierGrant() {
        return earlierGrantMilliseconds;
    }

    /** Returns the latest end of an inherited lease on the worker's clock, once that was read. */
    OptionalLong inheritedUntil() {
        return hasClockSample ? OptionalLong.of(earlierGrantsUntil) : OptionalLong.empty();
    }

    /** Returns whether every lease that was granted before the first answer has expired. */
    boolean areEarlierGrantsOver(long nowMilliseconds) {
        return hasClockSample && isPast(nowMilliseconds, earlierGrantsUntil);
    }

    /**
     * Returns whether a lease that was granted before the first answer may go on for longer than a
     * time on the worker's clock.
     */
    boolean mayEarlierGrantsOutlast(long nowMilliseconds, long milliseconds) {
        return !isPast(nowMilliseconds, earlierGrantsUntil - milliseconds);
    }

    private boolean isPast(long nowMilliseconds, long workerClock) {
        return earliestClock(nowMilliseconds - EXPIRY_MARGIN_MILLISECONDS) >= workerClock;
    }

    /**
     * Returns whether the clock in an answer is behind that of the worker, so that another
     * incarnation sent the answer.
     *
     * @param sentAt when the call was sent
     */
    boolean isBehind(long sentAt, long clock) {
        return hasClockSample
                && sentAt >= sampleReceivedAt
                && clock < earliestClock(sentAt) - EXPIRY_MARGIN_MILLISECONDS;
    }

    /** Returns what is known about the lease. */
    LeaseEvidence evidence(long nowMilliseconds) {
        return new LeaseEvidence(
                hasClockSample ? OptionalLong.of(sampleClock) : OptionalLong.empty(),
                nowMilliseconds - (hasClockSample ? sampleReceivedAt : startedAt),
                hasClockSample ? OptionalLong.of(grantedUntil) : OptionalLong.empty(),
                earlierGrantMilliseconds,
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
