package org.marjoramnotch.logic.replication;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Tracks how long the leader has been silent and when the next election is due, by the clock of
 * this replica.
 */
final class ElectionTimer {
    /**
     * The pause before an election attempt is at least the minimum election timeout divided by
     * this; the attempts of successive voters are two such parts apart.
     */
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
     * Starts the timer. An earlier process of this replica may have supported a leader until this
     * process began, so that time counts as the last contact with the leader. An early election
     * attempt costs nothing: pre-votes are refused while a leader is heard, and after a power
     * failure of all VMs there is no leader.
     *
     * @param processStart when the process began; any earlier process of this replica had ended by
     *     then
     * @param position the position of this replica in the list of voters
     */
    void start(long processStart, long now, int position) {
        lastLeaderContactMilliseconds = processStart;
        scheduleRetry(now, position);
    }

    /** Records a message from the leader of the current term. */
    void onLeaderContact(long now) {
        lastLeaderContactMilliseconds = now;
        scheduleTimeout(now);
    }

    long millisecondsSinceLeader(long now) {
        return now - lastLeaderContactMilliseconds;
    }

    /**
     * Returns whether the leader that was last heard may still hold a lease that relies on this
     * replica.
     */
    boolean supportsLeader(long now) {
        return millisecondsSinceLeader(now) < settings.electionTimeoutMinimumMilliseconds();
    }

    boolean isDue(long now) {
        return now >= deadlineMilliseconds;
    }

    /** Schedules the next election one full random election timeout from now. */
    void scheduleTimeout(long now) {
        deadlineMilliseconds =
                now
                        + random.nextLong(
                                settings.electionTimeoutMinimumMilliseconds(),
                                settings.electionTimeoutMaximumMilliseconds());
    }

    /**
     * Schedules the next election attempt after one that may fail. It comes sooner than a full
     * timeout, since no leader is awaited. Voters that start together, or whose votes were split,
     * make their attempts one after the other: right after a start a round of votes takes longer
     * than random pauses alone would keep the attempts apart.
     *
     * @param position the position of this replica in the list of voters
     */
    void scheduleRetry(long now, int position) {
        long minimum = settings.electionTimeoutMinimumMilliseconds();
        long pause = minimum / RETRY_DIVISOR + position * 2 * minimum / RETRY_DIVISOR;
        deadlineMilliseconds =
                now + pause + random.nextLong(0, Math.max(1, minimum / RETRY_DIVISOR));
    }
}
