package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.AppendAccepted;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.ReplicationMessage;
import org.marjoramnotch.model.replication.VoteKind;
import org.marjoramnotch.model.replication.VoteReply;

/** Checks the invariants that must hold at any time over all replicas of a simulation. */
final class SafetyChecker {
    private final Coverage coverage;
    private final Map<Long, ReplicaId> leaders = new HashMap<>();
    private final TreeMap<Long, Long> hashes = new TreeMap<>();
    private final TreeMap<Long, Long> commitTimes = new TreeMap<>();
    private Membership lastMembership = Membership.none();

    SafetyChecker(Coverage coverage) {
        this.coverage = coverage;
    }

    /** Returns the hash of the state that the group agreed on at or before an index. */
    long agreedHash(long index) {
        Map.Entry<Long, Long> agreed = hashes.floorEntry(index);
        return agreed == null ? 0 : agreed.getValue();
    }

    void onApplied(long index, long hash) {
        Long agreed = hashes.putIfAbsent(index, hash);
        assertThat(hash).as("state at index %s", index).isEqualTo(agreed == null ? hash : agreed);
    }

    /** Checks that a snapshot holds the state that the group agreed on. */
    void checkRestored(long index, long hash) {
        assertThat(hash).as("restored state at index %s", index).isEqualTo(agreedHash(index));
    }

    void checkNow(long time, Collection<SimulatedReplica> replicas, long promotionMilliseconds) {
        List<ReplicationStatus> running =
                replicas.stream()
                        .filter(SimulatedReplica::isRunning)
                        .map(replica -> replica.status(time))
                        .toList();
        assertThat(running.stream().filter(ReplicationStatus::leading).map(ReplicationStatus::self))
                .as("holders of the leader lease at %s", time)
                .hasSizeLessThanOrEqualTo(1);
        for (ReplicationStatus status : running) {
            if (status.leader().filter(status.self()::equals).isPresent()) {
                checkLeader(time, status, replicas, promotionMilliseconds);
            }
        }
    }

    /**
     * Checks that the sender has synced what a message promises, unless a later term has superseded
     * it.
     */
    void checkSynced(SimulatedReplica sender, ReplicaId to, ReplicationMessage message) {
        HardState synced = sender.storage().hardState();
        if (message instanceof VoteReply reply
                && reply.granted()
                && reply.kind() != VoteKind.PRE_VOTE) {
            assertThat(synced.term()).as("synced term").isGreaterThanOrEqualTo(reply.requestTerm());
            if (synced.term() == reply.requestTerm()) {
                assertThat(synced.votedFor()).as("synced vote").contains(to);
            }
        }
        if (message instanceof AppendAccepted accepted) {
            assertThat(synced.term()).as("synced term").isGreaterThanOrEqualTo(accepted.term());
            if (synced.term() == accepted.term()) {
                assertThat(sender.storage().lastIndex())
                        .as("synced entries")
                        .isGreaterThanOrEqualTo(accepted.matchIndex());
            }
        }
    }

    private void checkLeader(
            long time,
            ReplicationStatus status,
            Collection<SimulatedReplica> replicas,
            long promotionMilliseconds) {
        ReplicaId known = leaders.putIfAbsent(status.term(), status.self());
        if (known == null) {
            coverage.count(CoveredEvent.ELECTION);
        }
        assertThat(status.self())
                .as("leader of term %s", status.term())
                .isEqualTo(known == null ? status.self() : known);
        commitTimes.merge(time, status.commitIndex(), Math::max);
        SimulatedReplica leader =
                replicas.stream()
                        .filter(r -> r.id().equals(status.self()))
                        .findFirst()
                        .orElseThrow();
        Membership committed = leader.storage().membershipAt(status.commitIndex());
        if (!committed.equals(lastMembership) && status.ready()) {
            coverage.count(CoveredEvent.MEMBERSHIP_CHANGE);
            lastMembership = committed;
        }
        long startOfRound = time - promotionMilliseconds;
        Map.Entry<Long, Long> atStart = commitTimes.floorEntry(startOfRound);
        long caughtUpTo = atStart == null ? 0 : atStart.getValue();
        commitTimes.headMap(startOfRound - promotionMilliseconds).clear();
        replicas.stream()
                .filter(replica -> status.voters().contains(replica.id()))
                .filter(SimulatedReplica::becomesVoter)
                .forEach(
                        replica ->
                                assertThat(replica.storage().lastIndex())
                                        .as("last entry of promoted %s", replica.id())
                                        .isGreaterThanOrEqualTo(caughtUpTo));
    }
}
