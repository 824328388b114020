package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.ReplicationEnvelope;

/**
 * Kills processes and loses at most one disk in the first seconds of a group of three seeds and one
 * further VM, and checks that at most one group ever commits.
 */
final class FoundingSimulation {
    static final String FOUNDER = "founder";
    private static final int SEEDS = 3;
    private static final int VMS = 4;
    private static final long FAULT_MILLISECONDS = 6_000;
    private static final long SETTLE_MILLISECONDS = 20_000;
    private static final long PROPOSAL_MILLISECONDS = 20;

    private final UniformRandomProvider random;
    private final SimulatedNetwork network;
    private final List<FoundingVm> vms;
    private final Map<Long, Long> committed = new HashMap<>();
    private final Set<Long> acknowledged = new HashSet<>();
    private final Set<String> committingGroups = new HashSet<>();
    private long time;
    private long proposals;

    FoundingSimulation(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        network = new SimulatedNetwork(random, new Coverage());
        vms =
                IntStream.range(0, VMS)
                        .mapToObj(number -> new FoundingVm(vm(number), number < SEEDS, this))
                        .toList();
    }

    UniformRandomProvider random() {
        return random;
    }

    List<ReplicaId> founders() {
        return seeds().stream().map(seed -> new ReplicaId(seed, FOUNDER)).toList();
    }

    Optional<byte[]> payload() {
        return time % PROPOSAL_MILLISECONDS == 0
                ? Optional.of(ByteBuffer.allocate(Long.BYTES).putLong(++proposals).array())
                : Optional.empty();
    }

    ReplicaSettings replicaSettings(ReplicaId self) {
        return ReplicaSettings.builder(self, Set.copyOf(seeds()))
                .electionTimeoutMilliseconds(500, 650)
                .heartbeatIntervalMilliseconds(100)
                .membershipPolicy(MembershipPolicy.open(1, 650))
                .build();
    }

    void send(FoundingVm from, ReplicationEffects.Outgoing outgoing) {
        network.send(
                time,
                new ReplicationEnvelope(
                        from.id().orElseThrow(), outgoing.to(), outgoing.message()));
    }

    void onApplied(FoundingVm vm, long index, long payload, boolean byReadyLeader) {
        committingGroups.add(vm.group());
        assertThat(committingGroups).as("groups that commit at %s", time).hasSize(1);
        assertThat(committed.computeIfAbsent(index, first -> payload))
                .as("payload %s at %s", index, time)
                .isEqualTo(payload);
        if (byReadyLeader) {
            acknowledged.add(payload);
        }
    }

    /**
     * Injects faults, ends them, and checks that the group works and has kept what it acknowledged.
     *
     * @return whether a group could form: without it, the disks of too many voters are gone
     */
    boolean run(boolean losesDisk) {
        network.faultRate(random.nextBoolean() ? 0 : 0.05);
        long diskLostAt = losesDisk ? random.nextLong(FAULT_MILLISECONDS) : Long.MAX_VALUE;
        long nextFaultAt = random.nextLong(1_500);
        while (time < FAULT_MILLISECONDS) {
            if (time == diskLostAt) {
                vms.get(random.nextInt(SEEDS)).loseDisk(restart());
            }
            if (time == nextFaultAt) {
                nextFaultAt += random.nextLong(50, 2_500);
                injectFault();
            }
            step();
        }
        network.heal();
        network.faultRate(0);
        long expected = proposals;
        boolean possible = mayForm();
        for (long end = time + SETTLE_MILLISECONDS; time < end; ) {
            step();
        }
        if (possible) {
            FoundingVm leader =
                    vms.stream().filter(vm -> vm.isReady(time)).findFirst().orElseThrow();
            assertThat(leader.applied()).containsAll(acknowledged);
            assertThat(acknowledged).anyMatch(payload -> payload > expected);
        }
        return possible;
    }

    /** Returns the only kind of group that cannot form again: one that has lost its quorum. */
    private boolean mayForm() {
        return vms.stream()
                .filter(vm -> vm.disk().lastIndex() > 1)
                .allMatch(
                        holder ->
                                vms.stream()
                                                .flatMap(vm -> vm.id().stream())
                                                .filter(holder.membership().voters()::contains)
                                                .count()
                                        >= holder.membership().quorum());
    }

    private void injectFault() {
        switch (random.nextInt(4)) {
            case 0 -> vms.forEach(vm -> vm.kill(restart()));
            case 1 -> vms.forEach(this::maybeKill);
            case 2 -> vms.get(random.nextInt(VMS)).kill(restart());
            default -> cutOff(vms.get(random.nextInt(VMS)));
        }
    }

    private void maybeKill(FoundingVm vm) {
        if (random.nextBoolean()) {
            vm.kill(restart());
        }
    }

    private void cutOff(FoundingVm one) {
        network.heal();
        for (FoundingVm other : vms) {
            network.cut(one.vm(), other.vm());
            network.cut(other.vm(), one.vm());
        }
    }

    private long restart() {
        return time + random.nextLong(50, 1_000);
    }

    private void step() {
        time++;
        for (ReplicationEnvelope envelope : network.due(time)) {
            vms.stream()
                    .filter(vm -> vm.vm().equals(envelope.to().vm()))
                    .forEach(vm -> vm.receive(envelope));
        }
        vms.forEach(vm -> vm.step(time));
    }

    private static List<VmId> seeds() {
        return IntStream.range(0, SEEDS).mapToObj(FoundingSimulation::vm).toList();
    }

    private static VmId vm(int number) {
        return new VmId("vm-" + number);
    }
}
