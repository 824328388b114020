package org.marjoramnotch.logic.replication;

import java.util.Set;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;

/**
 * Settings of a replica.
 *
 * @param self the replica
 * @param replicaVms all VMs that may hold a replica of the group, including this one
 * @param electionTimeoutMinimumMilliseconds the shortest time that a replica waits for its leader,
 *     and the time for which it refuses votes after a message from the leader
 * @param electionTimeoutMaximumMilliseconds the longest time that a replica waits for its leader
 * @param heartbeatIntervalMilliseconds the interval between messages of a leader to each member
 * @param joinIntervalMilliseconds the interval between requests to join
 * @param clockDriftPercent by how much any clock may run fast or slow, in percent
 * @param batchBytes the largest size of the entries in one message; a larger entry is sent alone
 * @param batchesInFlight the largest number of unanswered messages with entries to one member
 * @param snapshotChunkBytes the size of one chunk of a snapshot
 * @param trailingEntries the number of entries before a snapshot that stay in memory for slow
 *     followers
 * @param membershipPolicy which VMs may join and how many of them vote
 */
public record ReplicaSettings(
        ReplicaId self,
        Set<VmId> replicaVms,
        long electionTimeoutMinimumMilliseconds,
        long electionTimeoutMaximumMilliseconds,
        long heartbeatIntervalMilliseconds,
        long joinIntervalMilliseconds,
        int clockDriftPercent,
        int batchBytes,
        int batchesInFlight,
        int snapshotChunkBytes,
        int trailingEntries,
        MembershipPolicy membershipPolicy) {
    private static final int CLOCK_GRANULARITY_MILLISECONDS = 2;

    /** Checks that the values are consistent. */
    public ReplicaSettings {
        replicaVms = Set.copyOf(replicaVms);
        require(
                membershipPolicy.open() || replicaVms.contains(self.vm()),
                "replicaVms must contain this VM");
        require(heartbeatIntervalMilliseconds > 0, "the heartbeat interval must be positive");
        require(
                electionTimeoutMinimumMilliseconds >= 2 * heartbeatIntervalMilliseconds,
                "the minimum election timeout must be at least two heartbeat intervals");
        require(
                electionTimeoutMaximumMilliseconds > electionTimeoutMinimumMilliseconds,
                "the maximum election timeout must be above the minimum");
        require(
                clockDriftPercent >= 0 && clockDriftPercent < 20,
                "the clock drift must be from 0 to 19 percent");
        require(
                batchBytes > 0 && batchesInFlight > 0 && snapshotChunkBytes > 0,
                "sizes of batches and chunks must be positive");
    }

    /** Returns a builder with the default values. */
    public static ReplicaSettingsBuilder builder(ReplicaId self, Set<VmId> replicaVms) {
        return new ReplicaSettingsBuilder(self, replicaVms);
    }

    /**
     * Returns the length of the leader lease, counted from the sending of the messages that a
     * quorum has acknowledged. The lease ends before any follower may vote again, even if the
     * leader's clock runs slow and the follower's runs fast.
     */
    public long leaderLeaseMilliseconds() {
        return electionTimeoutMinimumMilliseconds
                        * (100 - clockDriftPercent)
                        / (100 + clockDriftPercent)
                - CLOCK_GRANULARITY_MILLISECONDS;
    }

    private static void require(boolean holds, String rule) {
        if (!holds) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_SETTINGS,
                    "Invalid replica settings: " + rule + "; correct the settings file.");
        }
    }
}
