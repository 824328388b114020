package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.AppendEntries;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.TimeoutNow;

class OpenGroupScenarioTest {
    private static final long FOUNDING_MILLISECONDS = 3_000;

    private final OpenGroupSettings settings = new OpenGroupSettings(1, 2, 5, 0);
    private final OpenGroupSimulation simulation = new OpenGroupSimulation(settings);

    /** A VM with an empty disk knows only the seeds, and the leader need not be one of them. */
    @Test
    void vmThatLostItsDiskJoinsThoughNoSeedLeads() {
        electLeader(simulation.vms().get(4));
        OpenGroupVm wiped = simulation.vms().get(0);
        wiped.loseDisk(simulation.time());
        simulation.run(OpenGroupSettings.CATCH_UP_MILLISECONDS);
        assertThat(leader().status(simulation.time()).voters()).hasSize(5).contains(wiped.id());
    }

    /** When VMs are replaced or slow to return, there may be no seed left that knows the group. */
    @Test
    void vmsThatLostTheirDisksJoinThoughNoSeedKnowsTheGroup() {
        simulation.run(FOUNDING_MILLISECONDS);
        simulation.replaceSeeds(
                simulation.vms().subList(0, 2).stream().map(vm -> vm.id().vm()).toList());
        simulation.vms().subList(0, 2).forEach(vm -> vm.loseDisk(simulation.time()));
        simulation.run(OpenGroupSettings.CATCH_UP_MILLISECONDS);
        assertThat(leader().status(simulation.time()).voters())
                .containsExactlyInAnyOrderElementsOf(
                        simulation.vms().stream().map(OpenGroupVm::id).toList());
    }

    /**
     * Guards against a membership that is stored only on the lost disks, which would leave two of
     * four voters.
     */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void lossOfTwoDisksWhenFirstReadyIsTolerated(long seed) {
        OpenGroupSimulation started = new OpenGroupSimulation(new OpenGroupSettings(seed, 2, 5, 0));
        while (started.readyLeader().isEmpty()) {
            started.step();
        }
        OpenGroupVm leader = started.readyLeader().orElseThrow();
        leader.loseDisk(started.time() + 1_000);
        started.vms().stream()
                .filter(vm -> vm != leader)
                .findFirst()
                .orElseThrow()
                .loseDisk(started.time() + 1_000);
        started.settle();
    }

    /**
     * Guards against a new leader that treats voters as lost: right after its election it has had
     * no replies.
     */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void newLeaderKeepsLearnerThatReplacedLostVoter(long seed) {
        OpenGroupSimulation started = new OpenGroupSimulation(new OpenGroupSettings(seed, 2, 6, 0));
        started.run(FOUNDING_MILLISECONDS);
        OpenGroupVm former = started.readyLeader().orElseThrow();
        ReplicationStatus initialStatus = former.status(started.time());
        ReplicaId learner = initialStatus.learners().get(0);
        OpenGroupVm lost =
                started.vms().stream()
                        .filter(vm -> vm != former && initialStatus.voters().contains(vm.id()))
                        .findFirst()
                        .orElseThrow();
        ReplicaId lostId = lost.id();
        lost.loseDisk(Long.MAX_VALUE);
        while (!started.vms().stream()
                .filter(OpenGroupVm::isRunning)
                .allMatch(vm -> vm.status(started.time()).voters().contains(learner))) {
            started.step();
        }
        former.kill(started.time() + 2_000);
        for (int step = 0; step < FOUNDING_MILLISECONDS; step++) {
            started.step();
            started.readyLeader()
                    .ifPresent(
                            leader ->
                                    assertThat(leader.status(started.time()).voters())
                                            .contains(learner));
        }
        started.run(OpenGroupSettings.CATCH_UP_MILLISECONDS);
        assertThat(started.readyLeader().orElseThrow().status(started.time()).voters())
                .hasSize(5)
                .doesNotContain(lostId);
    }

    /**
     * Guards against needless traffic: as long as a lost VM stays a member, the leader sends
     * entries to it at each heartbeat.
     */
    @Test
    void learnerOnVmThatNeverComesBackIsRemoved() {
        OpenGroupSimulation started = new OpenGroupSimulation(new OpenGroupSettings(1, 2, 6, 0));
        started.run(FOUNDING_MILLISECONDS);
        ReplicaId learner =
                started.readyLeader().orElseThrow().status(started.time()).learners().get(0);
        started.vms().removeIf(vm -> vm.id().equals(learner));
        started.run(OpenGroupSettings.CATCH_UP_MILLISECONDS);
        ReplicationStatus status = started.readyLeader().orElseThrow().status(started.time());
        assertThat(status.voters()).hasSize(5);
        assertThat(status.learners()).isEmpty();
    }

    @Test
    void learnerThatRepliesLateAfterJoiningStays() {
        OpenGroupSimulation started = new OpenGroupSimulation(new OpenGroupSettings(1, 2, 6, 0));
        started.run(FOUNDING_MILLISECONDS);
        OpenGroupVm leader = started.readyLeader().orElseThrow();
        ReplicaId former = leader.status(started.time()).learners().get(0);
        OpenGroupVm learner =
                started.vms().stream()
                        .filter(vm -> vm.id().equals(former))
                        .findFirst()
                        .orElseThrow();
        learner.loseDisk(started.time());
        while (!leader.status(started.time()).learners().contains(learner.id())) {
            started.step();
        }
        learner.pause(started.time() + 1_000);
        for (int step = 0; step < 2_000; step++) {
            started.step();
            assertThat(leader.status(started.time()).learners()).containsExactly(learner.id());
        }
    }

    /**
     * Guards against a lease from a delayed message: it may have been sent before a restart that
     * set the sender's clock back.
     */
    @Test
    void replyToMessageFromBeforeRestartGivesNoLease() {
        simulation.run(FOUNDING_MILLISECONDS);
        OpenGroupVm cutOff = leader();
        AppendEntries delayed =
                new AppendEntries(group(), 1, 1, 1, List.of(), 0, Integer.MAX_VALUE);
        for (OpenGroupVm other : simulation.vms()) {
            if (other != cutOff) {
                other.replica().receive(other.localTime(simulation.time()), cutOff.id(), delayed);
            }
        }
        simulation.run(100);
        simulation.vms().forEach(vm -> simulation.network().cut(vm.id().vm(), cutOff.id().vm()));
        simulation.vms().forEach(vm -> simulation.network().cut(cutOff.id().vm(), vm.id().vm()));
        simulation.run(FOUNDING_MILLISECONDS);
        assertThat(cutOff.status(simulation.time()).leading()).isFalse();
    }

    @ParameterizedTest(name = "{0} tolerable losses, {1} VMs")
    @CsvSource({"2, 5", "2, 6", "2, 9", "1, 4", "1, 5"})
    void groupIsSoonReadyAfterFirstStart(int losses, int vms) {
        for (long seed = 1; seed <= 10; seed++) {
            OpenGroupSettings started = new OpenGroupSettings(seed, losses, vms, 0);
            assertThat(OpenGroupFounding.millisecondsUntilReady(started))
                    .as("seed %s", seed)
                    .isLessThan(FOUNDING_MILLISECONDS);
        }
    }

    private String group() {
        return Membership.foundedBy(simulation.founders()).group();
    }

    private OpenGroupVm leader() {
        return simulation.readyLeader().orElseThrow();
    }

    /** Repeats elections until the target is elected; its log may lack the last entry at first. */
    private void electLeader(OpenGroupVm target) {
        simulation.run(FOUNDING_MILLISECONDS);
        for (int attempt = 0; leader() != target; attempt++) {
            assertThat(attempt).as("attempts to elect %s", target.id()).isLessThan(100);
            long term = leader().status(simulation.time()).term();
            target.replica()
                    .receive(
                            target.localTime(simulation.time()),
                            leader().id(),
                            new TimeoutNow(group(), term));
            simulation.run(FOUNDING_MILLISECONDS);
        }
    }
}
