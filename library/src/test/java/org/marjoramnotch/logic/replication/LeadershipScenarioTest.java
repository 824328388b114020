package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.ReplicaId;

class LeadershipScenarioTest {
    private static final long MAXIMUM_TIME_WITHOUT_LEADER_MILLISECONDS = 3_000;

    @ParameterizedTest(name = "leader with a slow clock cut off {0} ms after a heartbeat interval")
    @ValueSource(longs = {0, 31, 62, 93, 124, 155, 186, 217, 248})
    void leaseEndsBeforeFollowersWithFastClocksElect(long offset) {
        ReplicationSimulation simulation =
                new ReplicationSimulation(
                        new SimulationSettings(11 + offset, 3, 0, 1, 1, List.of(0.99, 1.01, 1.01)));
        SimulatedReplica leader = simulation.formCompleteGroup();
        assertThat(leader).isSameAs(simulation.replicas().get(0));
        simulation.run(offset);
        simulation.isolate(leader);
        simulation.run(1_500);
        assertThat(simulation.readyLeader()).isPresent().get().isNotSameAs(leader);
        simulation.settle();
    }

    @Test
    void deadLeaderIsReplacedInTime() {
        long[] gaps =
                LongStream.rangeClosed(1, 20).map(LeadershipScenarioTest::gapAfterDeath).toArray();
        assertThat(Arrays.stream(gaps).max().orElseThrow())
                .as("times without a leader %s", Arrays.toString(gaps))
                .isLessThan(MAXIMUM_TIME_WITHOUT_LEADER_MILLISECONDS);
    }

    @Test
    void plannedTransferLeavesShortGap() {
        ReplicationSimulation simulation =
                new ReplicationSimulation(new SimulationSettings(21, 5, 0, 1_000));
        SimulatedReplica leader = simulation.formCompleteGroup();
        leader.replica().transferLeadership(leader.localTime(simulation.time()));
        assertThat(millisecondsUntilReady(simulation, leader)).isLessThan(50);
        simulation.settle();
    }

    @Test
    void leaderThatResignsIsReplacedAtOnce() {
        ReplicationSimulation simulation =
                new ReplicationSimulation(new SimulationSettings(23, 5, 0, 1_000));
        SimulatedReplica leader = simulation.formCompleteGroup();
        leader.replica().resign(leader.localTime(simulation.time()));
        assertThat(leader.status(simulation.time()).leading()).isFalse();
        assertThat(millisecondsUntilReady(simulation, leader)).isLessThan(50);
        simulation.settle();
    }

    @Test
    void removedReplicaRejoinsOnlyUnderNewIdentity() {
        ReplicationSimulation simulation =
                new ReplicationSimulation(new SimulationSettings(22, 3, 0, 1_000));
        SimulatedReplica leader = simulation.formCompleteGroup();
        List<SimulatedReplica> others =
                simulation.replicas().stream().filter(other -> other != leader).toList();
        SimulatedReplica removed = others.get(0);
        ReplicaId formerIdentity = removed.id();
        long now = leader.localTime(simulation.time());
        assertThatThrownBy(() -> leader.replica().removeVm(now, leader.id().vm()))
                .isInstanceOf(MarjoramnotchException.class);
        leader.replica().removeVm(now, formerIdentity.vm());
        assertThatThrownBy(() -> leader.replica().removeVm(now, others.get(1).id().vm()))
                .isInstanceOf(MarjoramnotchException.class)
                .hasMessageContaining("under way");
        simulation.run(10_000);
        assertThat(leader.status(simulation.time()).voters())
                .hasSize(2)
                .doesNotContain(formerIdentity);
        removed.loseDisk();
        simulation.settle();
    }

    private static long gapAfterDeath(long seed) {
        ReplicationSimulation simulation =
                new ReplicationSimulation(
                        new SimulationSettings(seed, seed % 2 == 0 ? 3 : 5, 0, 1_000));
        SimulatedReplica leader = simulation.formCompleteGroup();
        leader.kill();
        return millisecondsUntilReady(simulation, leader);
    }

    private static long millisecondsUntilReady(
            ReplicationSimulation simulation, SimulatedReplica formerLeader) {
        long start = simulation.time();
        while (simulation.readyLeader().filter(leader -> leader != formerLeader).isEmpty()) {
            simulation.step();
            assertThat(simulation.time() - start).isLessThan(20_000);
        }
        return simulation.time() - start;
    }
}
