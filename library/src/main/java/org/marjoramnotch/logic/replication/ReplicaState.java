package org.marjoramnotch.logic.replication;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.EntryKind;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.ReplicationMessage;
import org.marjoramnotch.model.replication.Snapshot;

/** The state that is shared by all components of a replica, with its checked transitions. */
final class ReplicaState {
    private final ReplicaSettings settings;
    private final ElectionTimer timer;
    private final EffectBuffer effects = new EffectBuffer();
    private final ReplicaLog log;
    private HardState hardState;
    private Role role = Role.FOLLOWER;
    private @Nullable ReplicaId leader;
    private @Nullable Leadership leadership;
    private long now;
    private long commitIndex;
    private boolean stopping;

    ReplicaState(
            ReplicaSettings settings,
            RecoveredState recovered,
            UniformRandomProvider random,
            long processStart,
            long now) {
        this.settings = settings;
        this.timer = new ElectionTimer(settings, random);
        this.hardState = recovered.hardState();
        this.log = new ReplicaLog(recovered, settings.trailingEntries(), effects);
        this.now = now;
        this.commitIndex = log.snapshotIndex();
        recovered
                .snapshot()
                .ifPresent(snapshot -> effects.restore(snapshot.index(), snapshot.state()));
        if (membership().exists() && !group().equals(membership().group())) {
            moveToGroup(membership().group());
        }
        timer.start(processStart, now, voterPosition());
    }

    /** Advances the clock; a time before the current one is ignored. */
    void advanceClock(long nowMilliseconds) {
        now = Math.max(now, nowMilliseconds);
    }

    long now() {
        return now;
    }

    ReplicaSettings settings() {
        return settings;
    }

    ReplicaId self() {
        return settings.self();
    }

    ReplicaLog log() {
        return log;
    }

    EffectBuffer effects() {
        return effects;
    }

    HardState hardState() {
        return hardState;
    }

    long term() {
        return hardState.term();
    }

    String group() {
        return hardState.group().orElse("");
    }

    Role role() {
        return role;
    }

    Optional<ReplicaId> leader() {
        return Optional.ofNullable(leader);
    }

    Optional<Leadership> leadership() {
        return Optional.ofNullable(leadership);
    }

    long commitIndex() {
        return commitIndex;
    }

    Membership membership() {
        return log.membership();
    }

    /**
     * Returns whether enough replicas vote, also if the replicas that hold the latest, uncommitted
     * membership are lost.
     */
    boolean toleratesLosses() {
        MembershipPolicy policy = settings.membershipPolicy();
        return policy.toleratesLosses(membership())
                && policy.toleratesLosses(log.membershipAt(commitIndex));
    }

    boolean isVoter() {
        return membership().voters().contains(self());
    }

    /** Returns whether this replica is about to stop and must not lead. */
    boolean isStopping() {
        return stopping;
    }

    /** Gives up a candidacy and keeps this replica from standing for election. */
    void prepareStop() {
        stopping = true;
        if (role == Role.PRE_CANDIDATE || role == Role.CANDIDATE) {
            becomeFollower(term(), null);
        }
    }

    /** Returns the position of this replica in the list of voters; 0 if it is not a voter. */
    int voterPosition() {
        return Math.max(0, membership().voters().indexOf(self()));
    }

    ElectionTimer timer() {
        return timer;
    }

    void send(ReplicaId to, ReplicationMessage message) {
        effects.send(to, message);
    }

    /** Becomes a follower in a term, of the given leader if one is known. */
    void becomeFollower(long term, @Nullable ReplicaId newLeader) {
        Invariant.check(term >= term(), "The term decreased");
        if (term > term()) {
            setHardState(hardState.withTerm(term));
            leader = null;
        }
        if (role == Role.LEADER) {
            timer.scheduleTimeout(now);
        }
        role = Role.FOLLOWER;
        leadership = null;
        if (newLeader != null) {
            Invariant.check(
                    leader == null || leader.equals(newLeader),
                    "Two replicas lead in term " + term);
        }
        leader = newLeader;
    }

    void becomePreCandidate() {
        role = Role.PRE_CANDIDATE;
        leader = null;
    }

    /** Starts a new term as candidate and votes for itself. */
    void becomeCandidate() {
        setHardState(hardState.withTerm(term() + 1));
        recordVote(self());
        role = Role.CANDIDATE;
        leader = null;
    }

    void recordVote(ReplicaId candidate) {
        Optional<ReplicaId> before = hardState.votedFor();
        Invariant.check(
                before.isEmpty() || before.get().equals(candidate),
                "A second vote would be given in term " + term());
        if (before.isEmpty()) {
            setHardState(hardState.withVote(candidate));
        }
    }

    void becomeLeader() {
        Invariant.check(role == Role.CANDIDATE, "Only a candidate can become leader");
        role = Role.LEADER;
        leader = self();
        leadership = new Leadership(this);
        leadership.start();
    }

    void joinGroup(String group) {
        Invariant.check(
                hardState.group().isEmpty() || group().equals(group),
                "A replica would join a second group");
        if (hardState.group().isEmpty()) {
            setHardState(hardState.withGroup(group));
        }
    }

    /** Takes the group of a new first entry, or of a leader that a blank replica is to follow. */
    void moveToGroup(String group) {
        setHardState(hardState.withGroup(group));
    }

    /**
     * Commits the entries up to an index, which a quorum has stored, and hands their payloads to
     * the host.
     */
    void commit(long index) {
        Invariant.check(index >= commitIndex, "The commit index decreased");
        Invariant.check(
                index <= log.lastIndex(), "An entry would be committed that is not in the log");
        for (long next = commitIndex + 1; next <= index; next++) {
            LogEntry entry = log.entry(next);
            if (entry.kind() == EntryKind.PAYLOAD) {
                effects.commit(entry);
            }
        }
        commitIndex = index;
    }

    void truncateFrom(long index) {
        Invariant.check(index > commitIndex, "A committed entry would be removed");
        log.truncateFrom(index);
    }

    void installSnapshot(Snapshot snapshot) {
        Invariant.check(
                snapshot.index() > commitIndex, "A snapshot would replace a later committed state");
        log.installSnapshot(snapshot);
        commitIndex = snapshot.index();
        effects.restore(snapshot.index(), snapshot.state());
    }

    private void setHardState(HardState newState) {
        hardState = newState;
        effects.write(new StorageWrite.SaveHardState(newState));
    }
}
