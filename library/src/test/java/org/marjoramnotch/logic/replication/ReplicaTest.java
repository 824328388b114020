package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.AppendAccepted;
import org.marjoramnotch.model.replication.AppendEntries;
import org.marjoramnotch.model.replication.JoinReply;
import org.marjoramnotch.model.replication.JoinRequest;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.SnapshotChunk;
import org.marjoramnotch.model.replication.SnapshotChunkReply;
import org.marjoramnotch.model.replication.TimeoutNow;
import org.marjoramnotch.model.replication.VoteKind;
import org.marjoramnotch.model.replication.VoteReply;
import org.marjoramnotch.model.replication.VoteRequest;

class ReplicaTest {
    private static final ReplicaId ONE = new ReplicaId(new VmId("vm-1"), "one");
    private static final ReplicaId TWO = new ReplicaId(new VmId("vm-2"), "two");
    private static final ReplicaId THREE = new ReplicaId(new VmId("vm-3"), "three");
    private static final String GROUP = ONE.toString();
    private static final byte[] PAYLOAD = {1};
    private static final Membership VOTERS =
            new Membership(GROUP, List.of(ONE, TWO, THREE), List.of(), List.of());

    private final SimulatedStorage storage = new SimulatedStorage();

    @Test
    void groupIsFormedOnce() {
        Replica replica = start(0);
        replica.formGroup(0);
        storeWrites(replica);
        assertThat(replica.status(0).ready()).isTrue();
        assertGroupState(() -> replica.formGroup(1));
        assertGroupState(() -> start(5).formGroup(6));
    }

    @Test
    void onlyFirstVmByNameFormsGroup() {
        Set<VmId> vms = Set.of(ONE.vm(), TWO.vm(), THREE.vm());
        Replica second =
                new Replica(
                        ReplicaSettings.builder(TWO, vms).build(),
                        storage.recover(),
                        RandomSource.JSF_64.create(7L),
                        0);
        assertGroupState(() -> second.formGroup(1));
        assertThat(second.takeEffects().writes()).isEmpty();
    }

    @Test
    void replicaThatHeardOfGroupNeverFormsOne() {
        Replica replica = start(0);
        replica.receive(0, TWO, new JoinReply("other"));
        assertGroupState(() -> replica.formGroup(1));
        storeWrites(replica);
        assertGroupState(() -> start(5).formGroup(6));
    }

    @ParameterizedTest(name = "{0} of term {1} at {2} ms after a restart: granted {3}")
    @CsvSource({
        "PRE_VOTE, 4, 999, false",
        "PRE_VOTE, 4, 1000, true",
        "ELECTION, 4, 999, false",
        "ELECTION, 4, 1000, true",
        "TRANSFER, 4, 0, true",
        "ELECTION, 3, 1000, true",
        "ELECTION, 2, 1000, false"
    })
    void voteIsRefusedWhileLeaderMayHoldLease(VoteKind kind, long term, long now, boolean granted) {
        storeLog(3);
        Replica replica = start(10_000);
        assertThat(requestVote(replica, 10_000 + now, TWO, kind, term)).isEqualTo(granted);
    }

    @Test
    void votesAreRefusedAfterMessageFromLeader() {
        storeLog(3);
        Replica replica = start(0);
        replica.receive(5_000, TWO, heartbeat(3));
        assertThat(requestVote(replica, 5_999, THREE, VoteKind.ELECTION, 4)).isFalse();
        assertThat(requestVote(replica, 6_000, THREE, VoteKind.ELECTION, 4)).isTrue();
    }

    @Test
    void voteSurvivesRestart() {
        storeLog(3);
        assertThat(requestVote(start(0), 1_000, TWO, VoteKind.ELECTION, 4)).isTrue();
        Replica restarted = start(0);
        assertThat(requestVote(restarted, 1_000, THREE, VoteKind.ELECTION, 4)).isFalse();
        assertThat(requestVote(restarted, 1_000, TWO, VoteKind.ELECTION, 4)).isTrue();
    }

    @Test
    void entriesOfEarlierTermAreNotCommittedByCountingReplicas() {
        storeLog(3);
        Replica leader = electLeader(start(0));
        ReplicationStatus before = leader.status(3_000);
        leader.receive(3_000, TWO, new AppendAccepted(before.term(), 1, 3_000));
        leader.receive(3_000, THREE, new AppendAccepted(before.term(), 1, 3_000));
        assertThat(leader.status(3_000).commitIndex()).isZero();
        leader.receive(3_000, TWO, new AppendAccepted(before.term(), 2, 3_000));
        assertThat(leader.status(3_000).commitIndex()).isEqualTo(2);
    }

    @Test
    void leaseCountsFromSendingOfAcknowledgedHeartbeat() {
        storeLog(3);
        Replica leader = electLeader(start(0));
        assertThat(leader.status(3_000).leading()).isFalse();
        leader.receive(3_500, TWO, new AppendAccepted(leader.status(3_500).term(), 2, 3_100));
        assertThat(leader.status(3_100 + 977).leading()).isTrue();
        assertThat(leader.status(3_100 + 978).leading()).isFalse();
    }

    @Test
    void leaseEndsWhenTransferIsRequested() {
        storeLog(3);
        Replica leader = electLeader(start(0));
        long term = leader.status(3_000).term();
        leader.receive(3_000, TWO, new AppendAccepted(term, 2, 3_000));
        assertThat(leader.status(3_000).ready()).isFalse();
        leader.takeEffects();
        assertThat(leader.status(3_000).ready()).isTrue();
        leader.transferLeadership(3_001);
        assertThat(leader.takeEffects().messages())
                .contains(new ReplicationEffects.Outgoing(TWO, new TimeoutNow(GROUP, term)));
        assertThat(leader.status(3_001).leading()).isFalse();
        assertThat(leader.propose(3_001, PAYLOAD)).isEmpty();
    }

    @Test
    void learnerIsPromotedOnceItHasAllEntriesOfQuickRound() {
        Replica leader = start(0);
        leader.formGroup(0);
        leader.propose(0, PAYLOAD);
        storeWrites(leader);
        leader.receive(10, TWO, new JoinRequest(TWO));
        leader.tick(10);
        assertThat(leader.status(10).learners()).containsExactly(TWO);
        storeWrites(leader);
        leader.receive(20, TWO, new AppendAccepted(1, 2, 10));
        leader.tick(20);
        assertThat(leader.status(20).voters()).containsExactly(ONE);
        leader.propose(1_500, PAYLOAD);
        leader.receive(1_500, TWO, new AppendAccepted(1, 4, 10));
        leader.tick(1_500);
        assertThat(leader.status(1_500).voters()).containsExactly(ONE);
        leader.receive(1_510, TWO, new AppendAccepted(1, 5, 1_500));
        leader.tick(1_510);
        assertThat(leader.status(1_510).voters()).containsExactly(ONE, TWO);
    }

    @Test
    void onlyComparedEntriesAreAcknowledged() {
        storeLog(3);
        storage.persist(
                List.of(new StorageWrite.AppendLog(List.of(LogEntry.payload(2, 3, PAYLOAD)))));
        Replica replica = start(0);
        replica.receive(0, TWO, heartbeat(4));
        assertThat(replica.takeEffects().messages())
                .containsExactly(new ReplicationEffects.Outgoing(TWO, new AppendAccepted(4, 1, 0)));
    }

    @Test
    void snapshotRestoresStateAndMembership() {
        Replica replica = start(0);
        for (byte chunk = 0; chunk < 2; chunk++) {
            replica.receive(
                    0,
                    TWO,
                    new SnapshotChunk(GROUP, 4, 9, 3, VOTERS, chunk, 2, new byte[] {chunk}, chunk));
        }
        ReplicationEffects effects = replica.takeEffects();
        assertThat(effects.restored().orElseThrow())
                .usingRecursiveComparison()
                .isEqualTo(new ReplicationEffects.RestoredState(9, new byte[] {0, 1}));
        assertThat(effects.messages())
                .extracting(ReplicationEffects.Outgoing::message)
                .containsExactly(
                        new SnapshotChunkReply(4, 9, 1, 0), new SnapshotChunkReply(4, 9, 2, 1));
        storage.persist(effects.writes());
        assertThat(replica.status(0).voters()).isEqualTo(VOTERS.voters());
        assertThat(start(5).status(5).voters()).isEqualTo(VOTERS.voters());
    }

    @Test
    void membershipIsRevertedWithItsEntry() {
        storeLog(3);
        Replica replica = start(0);
        LogEntry change = LogEntry.membership(2, 4, VOTERS.without(THREE));
        replica.receive(0, TWO, append(4, change));
        assertThat(replica.status(0).voters()).containsExactly(ONE, TWO);
        replica.receive(0, THREE, append(5, LogEntry.noOp(2, 5)));
        assertThat(replica.status(0).voters()).isEqualTo(VOTERS.voters());
        storeWrites(replica);
        assertThat(start(5).status(5).voters()).isEqualTo(VOTERS.voters());
    }

    @Test
    void messagesOfAnotherGroupAreIgnored() {
        storeLog(3);
        Replica replica = start(0);
        replica.receive(1_000, TWO, new AppendEntries("other", 9, 1, 9, List.of(), 1, 0));
        replica.receive(1_000, TWO, new VoteRequest("other", VoteKind.ELECTION, 9, 9, 9));
        assertThat(replica.status(1_000).term()).isEqualTo(3);
        assertThat(replica.takeEffects().messages()).isEmpty();
    }

    @Test
    void secondLeaderOfOneTermBreaksInvariant() {
        storeLog(3);
        Replica replica = start(0);
        replica.receive(0, TWO, heartbeat(3));
        assertCode(ErrorCode.INVARIANT_VIOLATED, () -> replica.receive(1, THREE, heartbeat(3)));
    }

    private Replica start(long now) {
        ReplicaSettings settings =
                ReplicaSettings.builder(ONE, Set.of(ONE.vm(), TWO.vm(), THREE.vm())).build();
        return new Replica(settings, storage.recover(), RandomSource.JSF_64.create(7L), now);
    }

    private void storeLog(long term) {
        storage.persist(
                List.of(
                        new StorageWrite.SaveHardState(
                                new HardState(term, Optional.empty(), Optional.of(GROUP))),
                        new StorageWrite.AppendLog(List.of(LogEntry.membership(1, term, VOTERS)))));
    }

    private void storeWrites(Replica replica) {
        storage.persist(replica.takeEffects().writes());
    }

    private boolean requestVote(
            Replica replica, long now, ReplicaId candidate, VoteKind kind, long term) {
        replica.receive(now, candidate, new VoteRequest(GROUP, kind, term, 1, 3));
        ReplicationEffects effects = replica.takeEffects();
        storage.persist(effects.writes());
        return effects.messages().stream()
                .filter(outgoing -> outgoing.to().equals(candidate))
                .map(ReplicationEffects.Outgoing::message)
                .anyMatch(message -> message instanceof VoteReply reply && reply.granted());
    }

    /** Lets the replica win an election at 3 seconds. */
    private Replica electLeader(Replica replica) {
        replica.tick(3_000);
        long term = replica.status(3_000).term() + 1;
        replica.receive(3_000, TWO, new VoteReply(term - 1, VoteKind.PRE_VOTE, term, true));
        replica.receive(3_000, TWO, new VoteReply(term, VoteKind.ELECTION, term, true));
        storeWrites(replica);
        assertThat(replica.status(3_000).leader()).contains(ONE);
        return replica;
    }

    private static AppendEntries heartbeat(long term) {
        return append(term);
    }

    private static AppendEntries append(long term, LogEntry... entries) {
        return new AppendEntries(GROUP, term, 1, 3, List.of(entries), 0, 0);
    }

    private static void assertGroupState(Runnable action) {
        assertCode(ErrorCode.GROUP_STATE, action);
    }

    private static void assertCode(ErrorCode code, Runnable action) {
        assertThatThrownBy(action::run)
                .isInstanceOfSatisfying(
                        MarjoramnotchException.class,
                        error -> assertThat(error.code()).isEqualTo(code));
    }
}
