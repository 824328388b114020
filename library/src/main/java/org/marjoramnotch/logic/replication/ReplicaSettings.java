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
 * @param replicaVms all VMs that may hold a replica of the group, with the own one
 * @param electionTimeoutMinimumMilliseconds how long a replica waits for its leader at least, and
 *     refuses votes after it heard one
 * @param electionTimeoutMaximumMilliseconds how long it waits at most
 * @param heartbeatIntervalMilliseconds the interval between messages of a leader to each member
 * @param joinIntervalMilliseconds the interval between requests to join
 * @param clockDriftPercent how far any clock may run fast or slow
 * @param batchBytes the size of the entries of one message; one larger entry is sent alone
 * @param batchesInFlight messages with entries to one member that await an answer
 * @param snapshotChunkBytes the size of one part of a snapshot
 * @param trailingEntries entries that stay in memory behind a snapshot for slow followers
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

    /** Checks that the values fit together. */
    public ReplicaSettings {
        replicaVms = Set.copyOf(replicaVms);
        require(
                membershipPolicy.open() || replicaVms.contains(self.vm()),
                "replicaVms must name the own VM");
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

    /** Starts settings of a replica with the usual values. */
    public static ReplicaSettingsBuilder builder(ReplicaId self, Set<VmId> replicaVms) {
        return new ReplicaSettingsBuilder(self, replicaVms);
    }

    /**
     * Returns how long a quorum's acknowledgement supports the leader lease, from the sending of
     * the acknowledged message. It ends before any follower may vote again, also when the leader's
     * clock runs slow and the follower's fast.
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
                    "In the replica settings " + rule + "; correct the settings file.");
        }
    }
}
