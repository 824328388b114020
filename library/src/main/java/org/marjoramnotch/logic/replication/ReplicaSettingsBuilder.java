package org.marjoramnotch.logic.replication;

import java.util.Set;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;

/** Builds {@link ReplicaSettings}. */
public final class ReplicaSettingsBuilder {
    private final ReplicaId self;
    private final Set<VmId> replicaVms;
    private long electionTimeoutMinimumMilliseconds = 1_000;
    private long electionTimeoutMaximumMilliseconds = 2_000;
    private long heartbeatIntervalMilliseconds = 250;
    private long joinIntervalMilliseconds = 1_000;
    private int clockDriftPercent = 1;
    private int batchBytes = 256 * 1024;
    private int batchesInFlight = 16;
    private int snapshotChunkBytes = 256 * 1024;
    private int trailingEntries = 512;
    private MembershipPolicy membershipPolicy = MembershipPolicy.fixed();

    ReplicaSettingsBuilder(ReplicaId self, Set<VmId> replicaVms) {
        this.self = self;
        this.replicaVms = replicaVms;
    }

    /** Sets the bounds of the election timeout. */
    public ReplicaSettingsBuilder electionTimeoutMilliseconds(long minimum, long maximum) {
        electionTimeoutMinimumMilliseconds = minimum;
        electionTimeoutMaximumMilliseconds = maximum;
        return this;
    }

    /** Sets the interval between messages of a leader to each member. */
    public ReplicaSettingsBuilder heartbeatIntervalMilliseconds(long interval) {
        heartbeatIntervalMilliseconds = interval;
        return this;
    }

    /** Sets the interval between requests to join. */
    public ReplicaSettingsBuilder joinIntervalMilliseconds(long interval) {
        joinIntervalMilliseconds = interval;
        return this;
    }

    /** Sets by how much any clock may run fast or slow, in percent. */
    public ReplicaSettingsBuilder clockDriftPercent(int percent) {
        clockDriftPercent = percent;
        return this;
    }

    /**
     * Sets the largest size of the entries in one message and the largest number of unanswered
     * messages.
     */
    public ReplicaSettingsBuilder batches(int bytes, int inFlight) {
        batchBytes = bytes;
        batchesInFlight = inFlight;
        return this;
    }

    /** Sets the size of one chunk of a snapshot. */
    public ReplicaSettingsBuilder snapshotChunkBytes(int bytes) {
        snapshotChunkBytes = bytes;
        return this;
    }

    /** Sets how many entries before a snapshot stay in memory. */
    public ReplicaSettingsBuilder trailingEntries(int entries) {
        trailingEntries = entries;
        return this;
    }

    /** Sets which VMs may join and how many vote. */
    public ReplicaSettingsBuilder membershipPolicy(MembershipPolicy policy) {
        membershipPolicy = policy;
        return this;
    }

    /**
     * Creates the settings.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code
     *     INVALID_SETTINGS}
     */
    public ReplicaSettings build() {
        return new ReplicaSettings(
                self,
                replicaVms,
                electionTimeoutMinimumMilliseconds,
                electionTimeoutMaximumMilliseconds,
                heartbeatIntervalMilliseconds,
                joinIntervalMilliseconds,
                clockDriftPercent,
                batchBytes,
                batchesInFlight,
                snapshotChunkBytes,
                trailingEntries,
                membershipPolicy);
    }
}
