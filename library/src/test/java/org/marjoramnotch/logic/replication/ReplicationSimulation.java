package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.ReplicationEnvelope;

/**
 * Runs replicas in virtual time, one millisecond per step, with a network, disks and processes that
 * fail. To use it in a test, create it, call {@link #step()} repeatedly, and end with {@link
 * #settle()}.
 */
final class ReplicationSimulation {
    private static final long PROPOSAL_MILLISECONDS = 25;
    private static final long FORMING_MILLISECONDS = 8_000;
    private static final long LOAD_PERIOD_MILLISECONDS = 1_700;
    private static final long SETTLE_MILLISECONDS = 30_000;
    private static final long LAST_COMMIT_MILLISECONDS = 1_000;
    private static final long PROMOTION_MILLISECONDS = 1_100;
    private static final double CLOCK_DRIFT = 0.01;

    private final SimulationSettings settings;
    private final UniformRandomProvider random;
    private final Coverage coverage = new Coverage();
    private final SafetyChecker checker = new SafetyChecker(coverage);
    private final SimulatedNetwork network;
    private final List<SimulatedReplica> replicas = new ArrayList<>();
    private long time;
    private long proposals;
    private boolean proposing = true;

    ReplicationSimulation(SimulationSettings settings) {
        this.settings = settings;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
        this.network = new SimulatedNetwork(random, coverage);
        for (VmId vm : settings.vms()) {
            replicas.add(new SimulatedReplica(vm, clockRate(replicas.size()), this));
        }
        replicas.forEach(replica -> replica.start(time));
    }

    List<SimulatedReplica> replicas() {
        return replicas;
    }

    SimulatedNetwork network() {
        return network;
    }

    SimulationSettings settings() {
        return settings;
    }

    SafetyChecker checker() {
        return checker;
    }

    Coverage coverage() {
        return coverage;
    }

    UniformRandomProvider random() {
        return random;
    }

    long time() {
        return time;
    }

    void formGroup() {
        SimulatedReplica founder = replicas.get(0);
        founder.replica().formGroup(founder.localTime(time));
    }

    /** Advances the time by one millisecond. */
    void step() {
        time++;
        for (ReplicationEnvelope envelope : network.due(time)) {
            deliver(envelope);
        }
        for (SimulatedReplica replica : replicas) {
            if (isActive(replica) && time % settings.tickMilliseconds() == 0) {
                replica.replica().tick(replica.localTime(time));
            }
        }
        if (proposing && time % PROPOSAL_MILLISECONDS == 0 && !inIdlePeriod()) {
            propose();
        }
        for (SimulatedReplica replica : replicas) {
            if (isActive(replica)) {
                replica.processEffects(time, network);
            }
        }
        checker.checkNow(time, replicas, PROMOTION_MILLISECONDS);
    }

    void run(long milliseconds) {
        for (long end = time + milliseconds; time < end; ) {
            step();
        }
    }

    /** Ends all faults and checks that the group works again and that all replicas agree. */
    void settle() {
        network.heal();
        network.faultRate(0);
        replicas.forEach(replica -> replica.pause(0));
        replicas.forEach(replica -> replica.planDeath(SimulatedReplica.Death.NONE));
        replicas.stream()
                .filter(replica -> !replica.isRunning())
                .forEach(replica -> replica.start(time));
        run(SETTLE_MILLISECONDS);
        proposing = false;
        run(LAST_COMMIT_MILLISECONDS);
        ReplicationStatus leader = readyLeader().orElseThrow().status(time);
        assertThat(leader.voters())
                .as("voters at the end")
                .containsExactlyInAnyOrderElementsOf(
                        replicas.stream().map(SimulatedReplica::id).toList());
        assertThat(replicas)
                .as("state at the end")
                .allSatisfy(
                        replica ->
                                assertThat(replica.hash())
                                        .isEqualTo(checker.agreedHash(leader.commitIndex())));
    }

    /** Forms the group and waits until all VMs vote. */
    SimulatedReplica formCompleteGroup() {
        formGroup();
        run(FORMING_MILLISECONDS);
        SimulatedReplica leader = readyLeader().orElseThrow();
        assertThat(leader.status(time).voters()).hasSize(replicas.size());
        return leader;
    }

    /** Cuts all links of a replica without notifying either side. */
    void isolate(SimulatedReplica one) {
        for (SimulatedReplica other : replicas) {
            network.cut(one.id().vm(), other.id().vm());
            network.cut(other.id().vm(), one.id().vm());
        }
    }

    Optional<SimulatedReplica> readyLeader() {
        return replicas.stream()
                .filter(this::isActive)
                .filter(replica -> replica.status(time).ready())
                .findFirst();
    }

    private boolean isActive(SimulatedReplica replica) {
        return replica.isRunning() && !replica.isPaused(time);
    }

    /**
     * Delivers a message, or postpones it while the receiving process is paused, as the kernel
     * would buffer it.
     */
    private void deliver(ReplicationEnvelope envelope) {
        replicas.stream()
                .filter(replica -> envelope.to().vm().equals(replica.id().vm()))
                .filter(SimulatedReplica::isRunning)
                .forEach(
                        replica -> {
                            if (replica.isPaused(time)) {
                                network.postpone(time + 1, envelope);
                            } else {
                                replica.receive(time, envelope);
                            }
                        });
    }

    /**
     * Returns whether proposals pause now; the pauses let followers catch up with the leader, so
     * that they can win elections.
     */
    private boolean inIdlePeriod() {
        return time / LOAD_PERIOD_MILLISECONDS % 2 == 1;
    }

    private void propose() {
        replicas.stream()
                .filter(this::isActive)
                .filter(replica -> replica.status(time).leading())
                .forEach(
                        replica ->
                                replica.replica()
                                        .propose(
                                                replica.localTime(time),
                                                ByteBuffer.allocate(Long.BYTES)
                                                        .putLong(++proposals)
                                                        .array()));
    }

    private double clockRate(int number) {
        if (!settings.clockRates().isEmpty()) {
            return settings.clockRates().get(number);
        }
        return 1 + CLOCK_DRIFT * (2 * random.nextDouble() - 1);
    }
}
