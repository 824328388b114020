package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.ReplicationEnvelope;
import org.marjoramnotch.model.replication.SnapshotChunk;

/** Runs a group that is founded by its seeds in virtual time, one millisecond per step. */
final class OpenGroupSimulation {
    static final String FOUNDER = "founder";
    private static final long START_SPREAD_MILLISECONDS = 300;
    private static final long PROPOSAL_MILLISECONDS = 20;
    private static final long SETTLE_MILLISECONDS = 10_000;

    private final OpenGroupSettings settings;
    private final UniformRandomProvider random;
    private final OpenGroupChecker checker;
    private final SimulatedNetwork network;
    private final List<OpenGroupVm> vms = new ArrayList<>();
    private final Map<OpenGroupFault, Long> counts = new EnumMap<>(OpenGroupFault.class);
    private List<VmId> seeds;
    private int nextVm;
    private long time;
    private long proposals;

    OpenGroupSimulation(OpenGroupSettings settings) {
        this.settings = settings;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
        this.checker = new OpenGroupChecker(settings);
        this.network = new SimulatedNetwork(random, new Coverage());
        this.seeds = settings.founders();
        while (nextVm < settings.vms()) {
            add(random.nextLong(START_SPREAD_MILLISECONDS));
        }
    }

    OpenGroupSettings settings() {
        return settings;
    }

    UniformRandomProvider random() {
        return random;
    }

    OpenGroupChecker checker() {
        return checker;
    }

    SimulatedNetwork network() {
        return network;
    }

    List<OpenGroupVm> vms() {
        return vms;
    }

    long time() {
        return time;
    }

    Set<VmId> seeds() {
        return Set.copyOf(seeds);
    }

    List<ReplicaId> founders() {
        return settings.founders().stream().map(vm -> new ReplicaId(vm, FOUNDER)).toList();
    }

    Map<OpenGroupFault, Long> counts() {
        return counts;
    }

    void count(OpenGroupFault fault) {
        counts.merge(fault, 1L, Long::sum);
    }

    long syncMilliseconds() {
        return OpenGroupSettings.SYNC_MILLISECONDS + random.nextInt(3);
    }

    /** Returns the payload that a ready leader proposes now, if any. */
    Optional<byte[]> payload() {
        return time % PROPOSAL_MILLISECONDS == 0
                ? Optional.of(ByteBuffer.allocate(Long.BYTES).putLong(++proposals).array())
                : Optional.empty();
    }

    void send(OpenGroupVm from, ReplicationEffects.Outgoing outgoing) {
        if (outgoing.message() instanceof SnapshotChunk && from.changesMembership(time)) {
            count(OpenGroupFault.SNAPSHOT_DURING_CHANGE);
        }
        network.send(time, new ReplicationEnvelope(from.id(), outgoing.to(), outgoing.message()));
    }

    /** Adds a VM with an empty disk. */
    void add(long startsAt) {
        VmId vm = settings.vm(nextVm++);
        vms.add(new OpenGroupVm(vm, settings.founders().contains(vm), startsAt, this));
    }

    /** Replaces the seeds that all VMs know. */
    void replaceSeeds(List<VmId> others) {
        seeds = others;
        vms.stream()
                .filter(OpenGroupVm::isRunning)
                .forEach(vm -> vm.replica().setJoinContacts(seeds()));
    }

    void step() {
        time++;
        for (ReplicationEnvelope envelope : network.due(time)) {
            vms.stream()
                    .filter(vm -> vm.id().vm().equals(envelope.to().vm()))
                    .forEach(vm -> vm.receive(envelope));
        }
        vms.forEach(vm -> vm.step(time));
        checker.checkNow(time, vms);
    }

    void run(long milliseconds) {
        for (long end = time + milliseconds; time < end; ) {
            step();
        }
    }

    Optional<OpenGroupVm> readyLeader() {
        return vms.stream()
                .filter(vm -> vm.isActive(time))
                .filter(vm -> vm.status(time).ready())
                .findFirst();
    }

    /** Ends all faults and checks that the group works again and has kept what it acknowledged. */
    void settle() {
        network.heal();
        network.faultRate(0);
        vms.forEach(vm -> vm.startAt(time + 1));
        run(SETTLE_MILLISECONDS);
        assertThat(readyLeader()).as("ready leader at %s", time).isPresent();
        OpenGroupVm leader = readyLeader().orElseThrow();
        assertThat(leader.status(time).voters())
                .as("voters at %s", time)
                .hasSize(settings.voters())
                .allMatch(voter -> vms.stream().anyMatch(vm -> vm.id().equals(voter)));
        assertThat(leader.appliedIndex()).isGreaterThanOrEqualTo(checker.acknowledgedIndex());
    }
}
