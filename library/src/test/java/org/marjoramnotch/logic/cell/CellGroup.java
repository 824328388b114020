package org.marjoramnotch.logic.cell;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.marjoramnotch.logic.replication.MembershipPolicy;
import org.marjoramnotch.logic.replication.ReplicaSettings;
import org.marjoramnotch.logic.replication.ReplicaSettingsBuilder;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;

/**
 * The group to which the replicas of a simulated cell belong.
 *
 * @param vms the VMs with a replica
 * @param founders the replicas that found the group; if empty, the first VM forms it
 * @param policy which VMs may join and vote
 */
record CellGroup(Set<VmId> vms, List<ReplicaId> founders, MembershipPolicy policy) {
    private static final int FOUNDERS = 3;
    private static final long ELECTION_TIMEOUT_MAXIMUM_MILLISECONDS = 650;

    /** Returns a group whose VMs are all listed in the settings. */
    static CellGroup fixed(int replicas) {
        return new CellGroup(vms(replicas), List.of(), MembershipPolicy.fixed());
    }

    /** Returns a group that is founded by its first VMs and that other VMs may join. */
    static CellGroup open(int losses, int replicas) {
        List<ReplicaId> founders =
                vms(FOUNDERS).stream().sorted().map(vm -> new ReplicaId(vm, identity(0))).toList();
        return new CellGroup(
                vms(replicas),
                founders,
                MembershipPolicy.open(losses, ELECTION_TIMEOUT_MAXIMUM_MILLISECONDS));
    }

    /** Returns the identity of a replica, which changes each time its disk is lost. */
    static String identity(int lostDisks) {
        return "disk-" + lostDisks;
    }

    ReplicaSettings replicaSettings(ReplicaId self) {
        if (founders.isEmpty()) {
            return ReplicaSettings.builder(self, vms).build();
        }
        Set<VmId> seeds = founders.stream().map(ReplicaId::vm).collect(Collectors.toSet());
        ReplicaSettingsBuilder settings = ReplicaSettings.builder(self, seeds);
        settings.electionTimeoutMilliseconds(500, ELECTION_TIMEOUT_MAXIMUM_MILLISECONDS)
                .heartbeatIntervalMilliseconds(100)
                .membershipPolicy(policy);
        return settings.build();
    }

    private static Set<VmId> vms(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> new VmId("vm-" + number))
                .collect(Collectors.toSet());
    }
}
