package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.FoundingAttestation;
import org.marjoramnotch.model.replication.FoundingNotice;
import org.marjoramnotch.model.replication.FoundingProbe;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.ReplicationMessage;

/** Starts seeds again that ended while they founded a group; messages are delivered at once. */
class FoundingAnewTest {
    private static final String FOUNDER = "founder";
    private static final VmId FIRST = new VmId("10.0.0.1");
    private static final VmId SECOND = new VmId("10.0.0.2");
    private static final VmId THIRD = new VmId("10.0.0.3");
    private static final VmId FOURTH = new VmId("10.0.0.4");
    private static final List<VmId> SEEDS = List.of(FIRST, SECOND, THIRD);
    private static final long STEP_MILLISECONDS = 20;
    private static final long FORMING_MILLISECONDS = 6_000;

    private final Map<VmId, Replica> replicas = new TreeMap<>();
    private final Map<VmId, SimulatedStorage> disks = new TreeMap<>();
    private final Set<VmId> down = new HashSet<>();
    private final List<FoundingDecision> decisions = new ArrayList<>();
    private int tolerableLosses = 1;
    private long now = 1_000;

    private static List<ReplicaId> founders() {
        return SEEDS.stream().map(seed -> new ReplicaId(seed, FOUNDER)).toList();
    }

    private void startFounder(VmId vm) {
        SimulatedStorage disk = new SimulatedStorage();
        disk.persist(FoundingEntry.writes(founders()));
        disks.put(vm, disk);
        start(vm, FOUNDER, SEEDS);
    }

    private void startEmpty(VmId vm, String identity) {
        disks.put(vm, new SimulatedStorage());
        start(vm, identity, SEEDS);
    }

    private void start(VmId vm, String identity, List<VmId> seeds) {
        ReplicaSettings settings =
                ReplicaSettings.builder(new ReplicaId(vm, identity), Set.copyOf(seeds))
                        .electionTimeoutMilliseconds(500, 900)
                        .heartbeatIntervalMilliseconds(100)
                        .membershipPolicy(MembershipPolicy.open(tolerableLosses, 900))
                        .build();
        Replica replica =
                new Replica(
                        settings,
                        disks.get(vm).recover(),
                        RandomSource.XO_RO_SHI_RO_128_PP.create(vm.hashCode()),
                        now);
        replica.setFoundingListener((decision, group) -> decisions.add(decision));
        replicas.put(vm, replica);
    }

    private void run(long milliseconds) {
        for (long end = now + milliseconds; now < end; ) {
            now += STEP_MILLISECONDS;
            running().forEach(vm -> replicas.get(vm).tick(now));
            running().forEach(this::deliver);
        }
    }

    private List<VmId> running() {
        return replicas.keySet().stream().filter(vm -> !down.contains(vm)).toList();
    }

    private void deliver(VmId vm) {
        ReplicationEffects effects = replicas.get(vm).takeEffects();
        disks.get(vm).persist(effects.writes());
        for (ReplicationEffects.Outgoing message : effects.messages()) {
            VmId to = message.to().vm();
            boolean addressed =
                    replicas.containsKey(to)
                            && (message.to().identity().isEmpty() || message.to().equals(id(to)));
            if (addressed && !down.contains(to)) {
                replicas.get(to).receive(now, id(vm), message.message());
            }
        }
    }

    private ReplicaId id(VmId vm) {
        return replicas.get(vm).status(now).self();
    }

    private Optional<ReplicationStatus> leader() {
        return running().stream()
                .map(vm -> replicas.get(vm).status(now))
                .filter(ReplicationStatus::ready)
                .findFirst();
    }

    private Membership storedMembership(VmId vm) {
        return disks.get(vm).membershipAt(Long.MAX_VALUE);
    }

    /** The stored identities of the seeds; those of a killed founder are drawn anew. */
    @ParameterizedTest
    @CsvSource({
        "drawn, drawn, drawn",
        "founder, drawn, drawn",
        "drawn, founder, drawn",
        "drawn, drawn, founder",
        "founder, founder, drawn",
        "drawn, founder, founder"
    })
    void seedsFormOneGroupAfterKillsOfFounders(String first, String second, String third) {
        List<String> identities = List.of(first, second, third);
        for (int seed = 0; seed < SEEDS.size(); seed++) {
            if (identities.get(seed).equals(FOUNDER)) {
                startFounder(SEEDS.get(seed));
            } else {
                startEmpty(SEEDS.get(seed), identities.get(seed));
            }
        }
        startEmpty(FOURTH, "drawn");
        run(FORMING_MILLISECONDS);
        ReplicationStatus status = leader().orElseThrow();
        assertThat(status.voters()).hasSize(3);
        assertThat(status.voters().size() + status.learners().size()).isEqualTo(4);
        String group = storedMembership(FIRST).group();
        assertThat(SEEDS).allMatch(seed -> storedMembership(seed).group().equals(group));
    }

    /** A founder of the previous release may have stored its identity and no entry. */
    @Test
    void foundersWithoutFoundingEntryFoundTheSameGroup() {
        SEEDS.forEach(seed -> startEmpty(seed, FOUNDER));
        run(FORMING_MILLISECONDS);
        assertThat(leader().orElseThrow().voters()).isEqualTo(founders());
        assertThat(storedMembership(FIRST).group())
                .isEqualTo(Membership.foundedBy(founders()).group());
    }

    @Test
    void firstSeedFoundsAgainIfOthersStartEmptyAfterItsNotice() {
        SEEDS.forEach(seed -> startEmpty(seed, "drawn"));
        for (long end = now + FORMING_MILLISECONDS;
                !storedMembership(FIRST).exists() && now < end; ) {
            run(STEP_MILLISECONDS);
        }
        start(FIRST, "drawn", SEEDS);
        SEEDS.subList(1, 3).forEach(seed -> startEmpty(seed, "other"));
        run(FORMING_MILLISECONDS);
        assertThat(leader().orElseThrow().voters())
                .containsExactly(
                        new ReplicaId(FIRST, "drawn"),
                        new ReplicaId(SECOND, "other"),
                        new ReplicaId(THIRD, "other"));
    }

    @Test
    void runningGroupIsNotFoundedAnew() {
        SEEDS.forEach(this::startFounder);
        run(FORMING_MILLISECONDS);
        startEmpty(FIRST, "new-disk");
        run(FORMING_MILLISECONDS);
        assertThat(storedMembership(SECOND).group())
                .isEqualTo(Membership.foundedBy(founders()).group());
        assertThat(decisions).doesNotContain(FoundingDecision.FOUNDED_ANEW);
    }

    /** Two of three seeds may be blank although the third holds what was acknowledged. */
    @Test
    void blankFounderAndLostDiskFoundNoSecondGroup() {
        SEEDS.forEach(this::startFounder);
        down.add(FIRST);
        run(FORMING_MILLISECONDS);
        VmId other = leader().orElseThrow().self().vm();
        assertThat(replicas.get(other).propose(now, new byte[] {1})).isPresent();
        run(200);
        down.add(THIRD);
        down.remove(FIRST);
        startEmpty(SECOND, "new-disk");
        run(FORMING_MILLISECONDS);
        assertThat(leader()).isEmpty();
        assertThat(decisions).doesNotContain(FoundingDecision.FOUNDED_ANEW);
        down.remove(THIRD);
        run(FORMING_MILLISECONDS);
        assertThat(leader().orElseThrow().commitIndex()).isGreaterThan(2);
        assertThat(decisions).doesNotContain(FoundingDecision.FOUNDED_ANEW);
    }

    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
    void groupIsNotFoundedWhileOneSeedIsSilent(String silent) {
        SEEDS.forEach(seed -> startEmpty(seed, "drawn"));
        down.add(new VmId(silent));
        run(FORMING_MILLISECONDS);
        assertThat(decisions).isEmpty();
        down.clear();
        run(FORMING_MILLISECONDS);
        assertThat(leader()).isPresent();
    }

    /** With two losses, two of three founders may have acknowledged something and be lost. */
    @Test
    void groupIsNotFoundedAnewIfQuorumOfFoundersMayBeLost() {
        tolerableLosses = 2;
        SEEDS.forEach(seed -> startEmpty(seed, "drawn"));
        run(FORMING_MILLISECONDS);
        assertThat(decisions).containsExactly(FoundingDecision.REFUSED_TOO_MANY_LOSSES);
    }

    /** The founders that hold the entry may have acknowledged something without these seeds. */
    @Test
    void groupIsNotFoundedAnewByOtherSeedsThanTheFounders() {
        SEEDS.forEach(this::startFounder);
        List<VmId> otherSeeds = List.of(FIRST, SECOND, FOURTH);
        start(FIRST, FOUNDER, otherSeeds);
        disks.put(SECOND, new SimulatedStorage());
        start(SECOND, "drawn", otherSeeds);
        disks.put(FOURTH, new SimulatedStorage());
        start(FOURTH, "drawn", otherSeeds);
        down.add(THIRD);
        run(FORMING_MILLISECONDS);
        assertThat(decisions).containsExactly(FoundingDecision.REFUSED_OTHER_SEEDS);
    }

    /** An attestation from before the loss of a disk proves nothing after it. */
    @Test
    void seedThatLosesItsDiskBetweenTwoRoundsDelaysFounding() {
        Replica first = startFirstSeedAlone();
        long round = attest(first, probe(first), "drawn", "drawn");
        long next = attest(first, round, "new-disk", "drawn");
        assertThat(decisions).isEmpty();
        attest(first, next, "new-disk", "drawn");
        assertThat(decisions).containsExactly(FoundingDecision.FOUNDED_ANEW);
    }

    @Test
    void attestationOfEarlierRoundIsIgnored() {
        Replica first = startFirstSeedAlone();
        long round = probe(first);
        attest(first, round, "drawn", "drawn");
        attest(first, round, "drawn", "drawn");
        assertThat(decisions).isEmpty();
    }

    @Test
    void replicaWithEntriesOfLeaderRefusesNoticeOfOtherGroup() {
        SEEDS.forEach(this::startFounder);
        run(FORMING_MILLISECONDS);
        start(SECOND, FOUNDER, SEEDS);
        Membership other =
                Membership.foundedBy(
                        List.of(new ReplicaId(FIRST, "drawn"), new ReplicaId(SECOND, FOUNDER)));
        replicas.get(SECOND).receive(now, new ReplicaId(FIRST, "drawn"), new FoundingNotice(other));
        assertThat(decisions).containsExactly(FoundingDecision.REFUSED_NOT_BLANK);
        run(FORMING_MILLISECONDS);
        assertThat(storedMembership(SECOND).voters()).isEqualTo(founders());
    }

    /** Starts the first seed, which then begins its next round of probes. */
    private Replica startFirstSeedAlone() {
        startEmpty(FIRST, "drawn");
        run(FORMING_MILLISECONDS);
        now += FORMING_MILLISECONDS;
        replicas.get(FIRST).tick(now);
        return replicas.get(FIRST);
    }

    /** Sends attestations of the other seeds and returns the round that follows. */
    private long attest(Replica first, long round, String second, String third) {
        ReplicationMessage attestation = new FoundingAttestation(round, "");
        first.receive(now, new ReplicaId(SECOND, second), attestation);
        first.receive(now, new ReplicaId(THIRD, third), attestation);
        return probe(first);
    }

    /** Returns the last round for which the replica has sent probes, or else 0. */
    private static long probe(Replica first) {
        return first.takeEffects().messages().stream()
                .map(ReplicationEffects.Outgoing::message)
                .filter(FoundingProbe.class::isInstance)
                .mapToLong(message -> ((FoundingProbe) message).round())
                .reduce(0, (earlier, later) -> later);
    }
}
