package org.marjoramnotch.logic.replication;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.AppendAccepted;
import org.marjoramnotch.model.replication.AppendRejected;
import org.marjoramnotch.model.replication.FollowerReply;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.SnapshotChunkReply;

/** The state and tasks of a leader during one term. */
final class Leadership {
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final ReplicaState state;
    private final Map<ReplicaId, FollowerProgress> members = new TreeMap<>();

    /**
     * The progress of each voter, null for this leader itself; cached since the lease is checked
     * often.
     */
    private List<@Nullable FollowerProgress> voters = List.of();

    private final EntrySender sender;
    private final MembershipChanges changes;
    private final LeadershipTransfer transfer;
    private final long startedAtMilliseconds;
    private long firstOwnIndex;
    private long confirmationRequestedAtMilliseconds = NEVER;
    private long leaseDistrustedAtMilliseconds = NEVER;

    Leadership(ReplicaState state) {
        this.state = state;
        this.sender = new EntrySender(state);
        this.changes = new MembershipChanges(state, this);
        this.transfer = new LeadershipTransfer(state, this);
        this.startedAtMilliseconds = state.now();
    }

    /**
     * Appends the no-op entry that starts the term; entries of earlier terms are committed with it.
     */
    void start() {
        trackMembers();
        firstOwnIndex = state.log().lastIndex() + 1;
        state.log().append(LogEntry.noOp(firstOwnIndex, state.term()));
        members.values().forEach(FollowerProgress::retryProbe);
        advanceCommit();
    }

    Map<ReplicaId, FollowerProgress> members() {
        return members;
    }

    MembershipChanges changes() {
        return changes;
    }

    LeadershipTransfer transfer() {
        return transfer;
    }

    /** Returns the index of the entry that started the term. */
    long firstOwnIndex() {
        return firstOwnIndex;
    }

    /** Returns when this leader was elected; it knows of no replies from before that. */
    long startedAtMilliseconds() {
        return startedAtMilliseconds;
    }

    void tick() {
        long lastQuorumContact =
                Math.max(startedAtMilliseconds, quorumAcknowledgedSendMilliseconds());
        long quorumTimeout = state.settings().electionTimeoutMaximumMilliseconds();
        if (state.now() - lastQuorumContact >= quorumTimeout) {
            state.becomeFollower(state.term(), null);
            return;
        }
        changes.tick();
        transfer.tick();
        if (state.isStopping()) {
            transfer.start();
        }
    }

    /** Sends the entries that members are missing, and the heartbeats that are due. */
    void flush() {
        members.forEach(
                (member, progress) ->
                        sender.sendDue(member, progress, isConfirmationDue(progress)));
    }

    /** Lets the next messages to the members be sent at once. */
    void requestConfirmation() {
        confirmationRequestedAtMilliseconds = state.now();
    }

    /**
     * Returns whether a quorum has answered messages that were sent later than at the given time.
     */
    boolean isConfirmed(long sinceMilliseconds) {
        return quorumOf(Long.MAX_VALUE, FollowerProgress::lastAcknowledgedSendMilliseconds)
                > sinceMilliseconds;
    }

    /**
     * Returns whether a member needs a message for the confirmation. One that is sent within the
     * same millisecond could not be told from earlier ones.
     */
    private boolean isConfirmationDue(FollowerProgress progress) {
        return progress.lastSentMilliseconds() <= confirmationRequestedAtMilliseconds
                && confirmationRequestedAtMilliseconds < state.now();
    }

    OptionalLong propose(byte[] payload) {
        if (transfer.isActive()) {
            return OptionalLong.empty();
        }
        long index = state.log().lastIndex() + 1;
        state.log().append(LogEntry.payload(index, state.term(), payload));
        advanceCommit();
        return OptionalLong.of(index);
    }

    /** Appends a new membership, which takes effect at once. */
    void propose(Membership membership) {
        long index = state.log().lastIndex() + 1;
        state.log().append(LogEntry.membership(index, state.term(), membership));
        trackMembers();
        advanceCommit();
    }

    void onReply(ReplicaId from, FollowerReply reply) {
        FollowerProgress progress = members.get(from);
        if (progress == null) {
            return;
        }
        progress.onReply(reply.sentAtMilliseconds(), state.now());
        if (reply instanceof AppendAccepted accepted) {
            progress.onMatch(accepted.matchIndex());
        } else if (reply instanceof AppendRejected rejected) {
            progress.onRejected(rejected.previousIndex(), rejected.nextIndexHint());
        } else if (reply instanceof SnapshotChunkReply chunkReply) {
            sender.onSnapshotReply(progress, chunkReply);
        }
        advanceCommit();
        transfer.tick();
    }

    /** Returns the time until which no other replica can become leader. */
    long leaseEndMilliseconds() {
        return quorumAcknowledgedSendMilliseconds() + state.settings().leaderLeaseMilliseconds();
    }

    boolean holdsLease() {
        return state.now() < leaseEndMilliseconds() && isConfirmed(leaseDistrustedAtMilliseconds);
    }

    /** Ends the lease until a quorum answers messages that are sent later than now. */
    void distrustLease() {
        leaseDistrustedAtMilliseconds = state.now();
        requestConfirmation();
    }

    /** Returns whether this leader holds the lease, or is new and may soon hold it. */
    boolean mayHoldLease() {
        return holdsLease()
                || state.now() - startedAtMilliseconds
                        < state.settings().electionTimeoutMinimumMilliseconds();
    }

    private void trackMembers() {
        Membership membership = state.membership();
        members.keySet().removeIf(member -> !membership.contains(member));
        membership
                .members()
                .filter(member -> !member.equals(state.self()))
                .forEach(
                        member ->
                                members.computeIfAbsent(
                                        member,
                                        added ->
                                                new FollowerProgress(
                                                        state.log().lastIndex(), state.now())));
        voters = new ArrayList<>();
        membership.voters().forEach(voter -> voters.add(members.get(voter)));
    }

    /**
     * Advances the commit index to what a quorum has stored. Only entries of the current term are
     * counted; earlier ones are committed with them.
     */
    private void advanceCommit() {
        long index = quorumOf(state.log().lastIndex(), FollowerProgress::matchIndex);
        if (index > state.commitIndex()
                && state.log().termAt(index).equals(OptionalLong.of(state.term()))) {
            state.commit(index);
        }
    }

    private long quorumAcknowledgedSendMilliseconds() {
        return quorumOf(state.now(), FollowerProgress::lastAcknowledgedSendMilliseconds);
    }

    /** Returns the highest value that a majority of the voters has reached. */
    private long quorumOf(long ownValue, ToLongFunction<FollowerProgress> value) {
        long[] values = new long[voters.size()];
        for (int index = 0; index < values.length; index++) {
            FollowerProgress progress = voters.get(index);
            values[index] = progress == null ? ownValue : value.applyAsLong(progress);
        }
        Arrays.sort(values);
        return values[values.length - state.membership().quorum()];
    }
}
