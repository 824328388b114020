package org.marjoramnotch.logic.replication;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;

/**
 * Settings of a simulated run of a group that is founded by its seeds.
 *
 * @param seed the seed of all random choices
 * @param losses how many disks may be lost at once
 * @param vms the number of VMs
 * @param faultMilliseconds how long faults are injected
 * @param additionalFaults faults to inject beside the standard ones
 */
record OpenGroupSettings(
        long seed,
        int losses,
        int vms,
        long faultMilliseconds,
        Set<OpenGroupFault> additionalFaults) {
    /** The time that a VM with an empty disk has to catch up ({@code bounds.catch_up_s}). */
    static final long CATCH_UP_MILLISECONDS = 6_000;

    /** The duration of a sync on the slower disks of the deployments ({@code disk.sync_ms}). */
    static final int SYNC_MILLISECONDS = 9;

    private static final int SEEDS = 3;
    private static final long ELECTION_TIMEOUT_MAXIMUM_MILLISECONDS = 650;

    OpenGroupSettings(long seed, int losses, int vms, long faultMilliseconds) {
        this(seed, losses, vms, faultMilliseconds, Set.of());
    }

    VmId vm(int number) {
        return new VmId(String.format("vm-%02d", number));
    }

    List<VmId> founders() {
        return IntStream.range(0, SEEDS).mapToObj(this::vm).toList();
    }

    int voters() {
        return 2 * losses + 1;
    }

    ReplicaSettings replicaSettings(ReplicaId self, Set<VmId> seeds) {
        return ReplicaSettings.builder(self, seeds)
                .electionTimeoutMilliseconds(500, ELECTION_TIMEOUT_MAXIMUM_MILLISECONDS)
                .heartbeatIntervalMilliseconds(100)
                .membershipPolicy(
                        MembershipPolicy.open(losses, ELECTION_TIMEOUT_MAXIMUM_MILLISECONDS))
                .batches(400, 4)
                .snapshotChunkBytes(256)
                .trailingEntries(16)
                .build();
    }
}
