package org.marjoramnotch.logic.replication;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;

/**
 * Settings of a simulated run.
 *
 * @param seed the seed of all random choices
 * @param replicas the number of VMs
 * @param steps the number of milliseconds with faults
 * @param electionTimeoutSpreadMilliseconds the range of election timeouts above the minimum
 * @param tickMilliseconds the interval between ticks of a replica
 * @param clockRates the rate of each VM's clock; drawn at random within the allowed drift if empty
 */
record SimulationSettings(
        long seed,
        int replicas,
        long steps,
        long electionTimeoutSpreadMilliseconds,
        long tickMilliseconds,
        List<Double> clockRates) {
    static final long ELECTION_TIMEOUT_MILLISECONDS = 1_000;

    SimulationSettings(
            long seed, int replicas, long steps, long electionTimeoutSpreadMilliseconds) {
        this(seed, replicas, steps, electionTimeoutSpreadMilliseconds, 10, List.of());
    }

    List<VmId> vms() {
        return IntStream.range(0, replicas).mapToObj(number -> new VmId("vm-" + number)).toList();
    }

    int entriesBetweenCompactions() {
        return 40;
    }

    ReplicaSettings replicaSettings(ReplicaId self) {
        return ReplicaSettings.builder(self, Set.copyOf(vms()))
                .electionTimeoutMilliseconds(
                        ELECTION_TIMEOUT_MILLISECONDS,
                        ELECTION_TIMEOUT_MILLISECONDS + electionTimeoutSpreadMilliseconds)
                .batches(200, 4)
                .snapshotChunkBytes(256)
                .trailingEntries(8)
                .build();
    }
}
