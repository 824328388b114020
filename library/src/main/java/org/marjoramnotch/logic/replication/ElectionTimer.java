package org.marjoramnotch.logic.replication;

import org.apache.commons.rng.UniformRandomProvider;

/** Measures how long the leader has been silent and when to seek election, on the own clock. */
final class ElectionTimer {
    /** A pause before an attempt is one such part of the timeout, and the turns are two apart. */
    private static final int RETRY_DIVISOR = 8;

    private final ReplicaSettings settings;
    private final UniformRandomProvider random;
    private long lastLeaderContactMilliseconds;
    private long deadlineMilliseconds;

    ElectionTimer(ReplicaSettings settings, UniformRandomProvider random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Notes that the replica starts. It may have supported a leader until its process began. An
     * attempt that is too early costs nothing, since pre-votes are refused while a leader is heard,
     * and after a power failure of all VMs nobody leads.
     *
     * @param begun when the process began; nothing that ran before can have been later
     * @param turn the place of this replica among the voters
     */
    void start(long begun, long now, int turn) {
        lastLeaderContactMilliseconds = begun;
        scheduleRetry(now, turn);
    }

    /** Notes that the leader of the current term was heard. */
    void onLeaderContact(long now) {
        lastLeaderContactMilliseconds = now;
        scheduleTimeout(now);
    }

    long millisecondsSinceLeader(long now) {
        return now - lastLeaderContactMilliseconds;
    }

    /** Tells whether a leader that was heard may still hold a lease that rests on this replica. */
    boolean supportsLeader(long now) {
        return millisecondsSinceLeader(now) < settings.electionTimeoutMinimumMilliseconds();
    }

    boolean isDue(long now) {
        return now >= deadlineMilliseconds;
    }

    /** Sets the next election to a whole random timeout from now. */
    void scheduleTimeout(long now) {
        deadlineMilliseconds =
                now
                        + random.nextLong(
                                settings.electionTimeoutMinimumMilliseconds(),
                                settings.electionTimeoutMaximumMilliseconds());
    }

    /**
     * Sets the next attempt after one that may fail; no leader is waited for, so it is sooner.
     * Voters that start together, or split their votes, make their attempts in turn: right after a
     * start a round of votes takes longer than random pauses would keep them apart.
     *
     * @param turn the place of this replica among the voters
     */
    void scheduleRetry(long now, int turn) {
        long minimum = settings.electionTimeoutMinimumMilliseconds();
        long pause = minimum / RETRY_DIVISOR + turn * 2 * minimum / RETRY_DIVISOR;
        deadlineMilliseconds =
                now + pause + random.nextLong(0, Math.max(1, minimum / RETRY_DIVISOR));
    }
}
