package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;

/** Tests a group whose replicas know only its seeds; messages are delivered at once. */
class FoundedGroupTest {
    private static final String FOUNDER = "founder";
    private static final List<VmId> SEEDS =
            List.of(new VmId("10.0.0.1"), new VmId("10.0.0.2"), new VmId("10.0.0.3"));
    private static final VmId FOURTH = new VmId("10.0.0.4");
    private static final VmId FIFTH = new VmId("10.0.0.5");
    private static final long STEP_MILLISECONDS = 20;

    private final Map<VmId, Replica> replicas = new TreeMap<>();
    private final Set<VmId> down = new HashSet<>();
    private final Map<VmId, List<byte[]>> committed = new TreeMap<>();
    private int tolerableLosses = 1;
    private long now = 1_000;

    private void start(VmId vm, String identity, boolean founds) {
        start(vm, identity, founds, now);
    }

    private void start(VmId vm, String identity, boolean founds, long processStart) {
        ReplicaId self = new ReplicaId(vm, identity);
        ReplicaSettings settings =
                ReplicaSettings.builder(self, Set.copyOf(SEEDS))
                        .electionTimeoutMilliseconds(500, 900)
                        .heartbeatIntervalMilliseconds(100)
                        .membershipPolicy(MembershipPolicy.open(tolerableLosses, 900))
                        .build();
        Replica replica =
                new Replica(
                        settings,
                        RecoveredState.empty(),
                        RandomSource.XO_RO_SHI_RO_128_PP.create(vm.hashCode()),
                        processStart,
                        now);
        if (founds) {
            replica.foundGroup(SEEDS.stream().map(seed -> new ReplicaId(seed, FOUNDER)).toList());
        }
        replicas.put(vm, replica);
        committed.put(vm, new ArrayList<>());
    }

    private void foundBySeeds() {
        SEEDS.forEach(seed -> start(seed, FOUNDER, true));
        run(4_000);
    }

    private void run(long milliseconds) {
        long end = now + milliseconds;
        while (now < end) {
            now += STEP_MILLISECONDS;
            replicas.forEach(
                    (vm, replica) -> {
                        if (!down.contains(vm)) {
                            replica.tick(now);
                        }
                    });
            deliver();
        }
    }

    private void deliver() {
        for (Map.Entry<VmId, Replica> entry : replicas.entrySet()) {
            if (down.contains(entry.getKey())) {
                continue;
            }
            ReplicationEffects effects = entry.getValue().takeEffects();
            effects.committed().forEach(one -> committed.get(entry.getKey()).add(one.payload()));
            for (ReplicationEffects.Outgoing message : effects.messages()) {
                VmId to = message.to().vm();
                Replica receiver = replicas.get(to);
                ReplicaId self = receiver == null ? null : receiver.status(now).self();
                boolean addressed =
                        self != null
                                && (message.to().identity().isEmpty() || message.to().equals(self));
                if (addressed && !down.contains(to)) {
                    receiver.receive(now, entry.getValue().status(now).self(), message.message());
                }
            }
        }
    }

    private Optional<ReplicationStatus> leader() {
        return replicas.entrySet().stream()
                .filter(entry -> !down.contains(entry.getKey()))
                .map(entry -> entry.getValue().status(now))
                .filter(ReplicationStatus::ready)
                .findFirst();
    }

    @Test
    void seedsFoundOneGroupTogether() {
        foundBySeeds();
        assertThat(leader()).isPresent();
        assertThat(leader().get().voters()).extracting(ReplicaId::vm).isEqualTo(SEEDS);
    }

    /**
     * After a power failure of all VMs, processes that took longer than a lease to start need not
     * wait, since no former leader can still hold a lease.
     */
    @Test
    void groupThatRestartsTogetherWaitsForNoFormerLeader() {
        SEEDS.forEach(seed -> start(seed, FOUNDER, true, now - 600));
        run(400);
        assertThat(leader()).isPresent();
    }

    /** A process that has just begun may replace one that supported a leader a moment ago. */
    @Test
    void newlyStartedGroupWaitsForLeaseOfFormerLeaderToEnd() {
        SEEDS.forEach(seed -> start(seed, FOUNDER, true));
        run(480);
        assertThat(leader()).isEmpty();
    }

    @Test
    void groupIsReadyWhileOneSeedIsDown() {
        down.add(SEEDS.get(2));
        foundBySeeds();
        assertThat(leader()).isPresent();
    }

    @Test
    void oneSeedAloneDecidesNothing() {
        down.add(SEEDS.get(1));
        down.add(SEEDS.get(2));
        foundBySeeds();
        assertThat(leader()).isEmpty();
    }

    @Test
    void emptyVmThatIsNotFounderOnlyJoins() {
        start(FOURTH, "drawn", false);
        run(4_000);
        assertThat(leader()).isEmpty();
        foundBySeeds();
        assertThat(leader().orElseThrow().learners())
                .containsExactly(new ReplicaId(FOURTH, "drawn"));
        assertThat(leader().orElseThrow().voters()).hasSize(3);
    }

    @Test
    void learnerReplacesLostVoter() {
        emptyVmThatIsNotFounderOnlyJoins();
        VmId lost = firstOtherSeed(leader().orElseThrow());
        down.add(lost);
        run(6_000);
        assertThat(leader().orElseThrow().voters())
                .extracting(ReplicaId::vm)
                .hasSize(3)
                .contains(FOURTH)
                .doesNotContain(lost);
    }

    @Test
    void replacedVoterReturnsAsLearner() {
        learnerReplacesLostVoter();
        VmId returned = down.iterator().next();
        down.clear();
        run(8_000);
        assertThat(leader().orElseThrow().learners())
                .containsExactly(new ReplicaId(returned, FOUNDER));
        assertThat(leader().orElseThrow().voters()).hasSize(3);
    }

    @Test
    void vmThatLostItsDiskBecomesNewMember() {
        emptyVmThatIsNotFounderOnlyJoins();
        VmId wiped = firstOtherSeed(leader().orElseThrow());
        start(wiped, "new-disk", false);
        run(8_000);
        ReplicationStatus status = leader().orElseThrow();
        assertThat(status.voters()).hasSize(3).doesNotContain(new ReplicaId(wiped, FOUNDER));
        assertThat(Stream.concat(status.voters().stream(), status.learners().stream()))
                .contains(new ReplicaId(wiped, "new-disk"));
    }

    @Test
    void groupToleratingTwoLossesIsNotReadyOnThreeDisks() {
        tolerableLosses = 2;
        foundBySeeds();
        assertThat(leader()).isEmpty();
        start(FOURTH, "drawn", false);
        start(FIFTH, "drawn", false);
        run(4_000);
        assertThat(leader().orElseThrow().voters()).hasSize(5);
    }

    /** What a group acknowledges once it is ready must be on more disks than may be lost. */
    @Test
    void firstAcknowledgedEntrySurvivesLossOfTwoDisks() {
        tolerableLosses = 2;
        VmId late = SEEDS.get(2);
        down.add(late);
        SEEDS.forEach(seed -> start(seed, FOUNDER, true));
        while (leader().isEmpty() && now < 20_000) {
            if (now > 6_000) {
                down.remove(late);
                startIfAbsent(FOURTH);
                startIfAbsent(FIFTH);
            }
            run(STEP_MILLISECONDS);
        }
        VmId acknowledging = leader().orElseThrow().self().vm();
        byte[] payload = {1};
        replicas.get(acknowledging).propose(now, payload);
        while (committed.get(acknowledging).isEmpty()) {
            run(STEP_MILLISECONDS);
        }
        List<VmId> wiped =
                Stream.concat(Stream.of(acknowledging), SEEDS.stream())
                        .distinct()
                        .limit(2)
                        .toList();
        wiped.forEach(vm -> start(vm, "new-disk", false));
        down.clear();
        run(10_000);
        VmId leaderVm = leader().orElseThrow().self().vm();
        assertThat(committed.get(leaderVm)).anyMatch(entry -> Arrays.equals(entry, payload));
    }

    /** Guards against a loss of voters: with fewer voters a commit would need fewer disks. */
    @Test
    void groupKeepsItsVoterCountWhileVmsThatLostTheirDisksJoin() {
        tolerableLosses = 2;
        foundBySeeds();
        start(FOURTH, "drawn", false);
        start(FIFTH, "drawn", false);
        run(4_000);
        VmId leaderVm = leader().orElseThrow().self().vm();
        Stream.of(FOURTH, FIFTH, SEEDS.get(0), SEEDS.get(1))
                .filter(vm -> !vm.equals(leaderVm))
                .limit(2)
                .forEach(vm -> start(vm, "new-disk", false));
        for (int step = 0; step < 400; step++) {
            run(STEP_MILLISECONDS);
            leader().ifPresent(status -> assertThat(status.voters()).hasSizeBetween(5, 6));
        }
        ReplicationStatus status = leader().orElseThrow();
        assertThat(status.voters())
                .hasSize(5)
                .extracting(ReplicaId::identity)
                .filteredOn("new-disk"::equals)
                .hasSize(2);
    }

    /** A new leader has had no replies yet and must not treat voters as lost because of that. */
    @Test
    void newLeaderReplacesNoVoterThatRepliesSoonAfter() {
        emptyVmThatIsNotFounderOnlyJoins();
        List<ReplicaId> voters = leader().orElseThrow().voters();
        Replica former = replicas.get(leader().orElseThrow().self().vm());
        VmId slow = lastOtherSeed(leader().orElseThrow());
        former.transferLeadership(now);
        deliver();
        down.add(slow);
        run(200);
        assertThat(leader().orElseThrow().self().vm()).isNotEqualTo(slow);
        assertThat(leader().orElseThrow().voters()).isEqualTo(voters);
        down.remove(slow);
        run(2_000);
        assertThat(leader().orElseThrow().voters()).isEqualTo(voters);
    }

    private static VmId lastOtherSeed(ReplicationStatus leader) {
        return SEEDS.stream()
                .filter(seed -> !seed.equals(leader.self().vm()))
                .reduce((first, second) -> second)
                .get();
    }

    private void startIfAbsent(VmId vm) {
        if (!replicas.containsKey(vm)) {
            start(vm, "drawn", false);
        }
    }

    private static VmId firstOtherSeed(ReplicationStatus leader) {
        return SEEDS.stream().filter(seed -> !seed.equals(leader.self().vm())).findFirst().get();
    }
}
