package org.marjoramnotch.logic.replication;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.AppendEntries;
import org.marjoramnotch.model.replication.FollowerReply;
import org.marjoramnotch.model.replication.FoundingMessage;
import org.marjoramnotch.model.replication.JoinReply;
import org.marjoramnotch.model.replication.JoinRequest;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.ReplicationMessage;
import org.marjoramnotch.model.replication.SnapshotChunk;
import org.marjoramnotch.model.replication.TimeoutNow;
import org.marjoramnotch.model.replication.VoteReply;
import org.marjoramnotch.model.replication.VoteRequest;

/**
 * A replica of a log that follows the Raft algorithm with pre-vote, check-quorum, a leader lease,
 * leadership transfer and membership changes of one member at a time.
 *
 * <p>The first effects after a start contain the recovered snapshot, if any, as the restored state.
 * The time that is passed with a message must be read after the message was received: an earlier
 * time would shorten the period in which votes are refused, on which the leader lease relies.
 */
public final class Replica implements ReplicatedLog {
    private final ReplicaState state;
    private final Election election;
    private final LogReceiver receiver;
    private final Foundation foundation;
    private final JoinProtocol joinProtocol;
    private final FoundingProtocol foundingProtocol;
    private long deliveredIndex;

    /**
     * Creates a replica from its recovered state.
     *
     * @param settings the settings
     * @param recovered the state that was read from storage
     * @param random the source of random election timeouts
     * @param nowMilliseconds the current time
     */
    public Replica(
            ReplicaSettings settings,
            RecoveredState recovered,
            UniformRandomProvider random,
            long nowMilliseconds) {
        this(settings, recovered, random, nowMilliseconds, nowMilliseconds);
    }

    /**
     * Creates a replica in a process that began some time ago.
     *
     * @param settings the settings
     * @param recovered the state that was read from storage
     * @param random the source of random election timeouts
     * @param processStartMilliseconds when the process began, or later; any earlier process of this
     *     replica had ended by then
     * @param nowMilliseconds the current time
     */
    public Replica(
            ReplicaSettings settings,
            RecoveredState recovered,
            UniformRandomProvider random,
            long processStartMilliseconds,
            long nowMilliseconds) {
        state =
                new ReplicaState(
                        settings, recovered, random, processStartMilliseconds, nowMilliseconds);
        election = new Election(state);
        receiver = new LogReceiver(state);
        foundation = new Foundation(state);
        joinProtocol = new JoinProtocol(state, foundation);
        foundingProtocol = new FoundingProtocol(state, foundation, random);
    }

    /**
     * Makes this replica one of the founders of a group, unless it has stored anything. All
     * founders start with the same membership, so that the group exists once a majority of them
     * runs.
     */
    public void foundGroup(List<ReplicaId> founders) {
        if (state.group().isEmpty() && state.log().lastIndex() == 0) {
            foundation.take(Membership.foundedBy(founders));
        }
    }

    /** Sets the listener of decisions about the founding of a group. */
    public void setFoundingListener(FoundingListener listener) {
        foundation.setListener(listener);
    }

    @Override
    public void tick(long nowMilliseconds) {
        state.advanceClock(nowMilliseconds);
        state.leadership().ifPresent(Leadership::tick);
        election.tick();
        joinProtocol.tick();
        foundingProtocol.tick();
    }

    @Override
    public void receive(long nowMilliseconds, ReplicaId from, ReplicationMessage message) {
        state.advanceClock(nowMilliseconds);
        if (message instanceof VoteRequest request) {
            if (isOwnGroup(request.group()) && !isRemoved()) {
                election.onRequest(from, request);
            }
        } else if (message instanceof VoteReply reply) {
            election.onReply(from, reply);
        } else if (message instanceof AppendEntries append) {
            if (isOwnGroupOrUngrouped(append.group())) {
                receiver.onAppend(from, append);
            }
        } else if (message instanceof SnapshotChunk chunk) {
            if (isOwnGroupOrUngrouped(chunk.group())) {
                receiver.onSnapshotChunk(from, chunk);
            }
        } else if (message instanceof TimeoutNow timeoutNow) {
            if (isOwnGroup(timeoutNow.group())) {
                election.onTimeoutNow(from, timeoutNow);
            }
        } else if (message instanceof JoinRequest request) {
            joinProtocol.onRequest(from, request);
        } else if (message instanceof JoinReply reply) {
            joinProtocol.onReply(from, reply);
        } else if (message instanceof FoundingMessage founding) {
            foundingProtocol.receive(from, founding);
        } else if (message instanceof FollowerReply reply) {
            receiveReply(from, reply);
        }
    }

    @Override
    public OptionalLong propose(long nowMilliseconds, byte[] payload) {
        state.advanceClock(nowMilliseconds);
        return state.leadership()
                .map(leadership -> leadership.propose(payload))
                .orElseGet(OptionalLong::empty);
    }

    @Override
    public void formGroup(long nowMilliseconds) {
        state.advanceClock(nowMilliseconds);
        if (!state.group().isEmpty()) {
            throw new MarjoramnotchException(
                    ErrorCode.GROUP_STATE,
                    "A group already exists, and this replica joins it automatically; read the"
                            + " status of the group instead.");
        }
        foundation.requireFirstVm();
        Membership membership = Membership.formedBy(state.self());
        state.log().append(LogEntry.membership(1, 0, membership));
        state.joinGroup(membership.group());
        state.becomeCandidate();
        state.becomeLeader();
    }

    @Override
    public void removeVm(long nowMilliseconds, VmId vm) {
        state.advanceClock(nowMilliseconds);
        requireLeadership().changes().remove(vm);
    }

    @Override
    public void setJoinContacts(Set<VmId> contacts) {
        joinProtocol.setJoinContacts(contacts);
        foundingProtocol.setSeeds(contacts);
    }

    @Override
    public void prepareStop(long nowMilliseconds) {
        state.advanceClock(nowMilliseconds);
        state.prepareStop();
        state.leadership().ifPresent(Leadership::tick);
    }

    /** Transfers leadership to the most up-to-date voter, if this replica leads. */
    void transferLeadership(long nowMilliseconds) {
        state.advanceClock(nowMilliseconds);
        state.leadership().ifPresent(leadership -> leadership.transfer().start());
    }

    @Override
    public void resign(long nowMilliseconds) {
        state.advanceClock(nowMilliseconds);
        state.leadership().ifPresent(leadership -> leadership.transfer().resign());
    }

    @Override
    public void compact(long index, byte[] newState) {
        Invariant.check(
                index <= deliveredIndex, "A snapshot would cover entries that were not applied");
        if (index > state.log().snapshotIndex()) {
            state.log().compact(index, newState);
        }
    }

    @Override
    public ReplicationEffects takeEffects() {
        state.leadership().ifPresent(Leadership::flush);
        deliveredIndex = state.commitIndex();
        return state.effects().take();
    }

    @Override
    public long requestConfirmation(long nowMilliseconds) {
        state.advanceClock(nowMilliseconds);
        state.leadership().ifPresent(Leadership::requestConfirmation);
        return state.now();
    }

    @Override
    public boolean isConfirmed(long mark) {
        return state.leadership().map(leadership -> leadership.isConfirmed(mark)).orElse(false);
    }

    @Override
    public void distrustLease(long nowMilliseconds) {
        state.advanceClock(nowMilliseconds);
        state.leadership().ifPresent(Leadership::distrustLease);
    }

    @Override
    public boolean isReady(long nowMilliseconds) {
        state.advanceClock(nowMilliseconds);
        Leadership leadership = state.leadership().orElse(null);
        return leadership != null && isReady(leadership, leadership.holdsLease());
    }

    @Override
    public boolean isLeading(long nowMilliseconds) {
        state.advanceClock(nowMilliseconds);
        return state.leadership().isPresent();
    }

    @Override
    public ReplicationStatus status(long nowMilliseconds) {
        state.advanceClock(nowMilliseconds);
        Leadership leadership = state.leadership().orElse(null);
        boolean leading = leadership != null && leadership.holdsLease();
        return new ReplicationStatus(
                state.self(),
                leading,
                leadership != null && isReady(leadership, leading),
                state.leader(),
                state.term(),
                state.commitIndex(),
                state.log().firstIndex(),
                state.membership().voters(),
                state.membership().learners());
    }

    private boolean isReady(Leadership leadership, boolean leading) {
        return leading && deliveredIndex >= leadership.firstOwnIndex() && state.toleratesLosses();
    }

    private void receiveReply(ReplicaId from, FollowerReply reply) {
        if (reply.term() > state.term()) {
            state.becomeFollower(reply.term(), null);
        } else if (reply.term() == state.term()) {
            state.leadership().ifPresent(leadership -> leadership.onReply(from, reply));
        }
    }

    private Leadership requireLeadership() {
        return state.leadership()
                .orElseThrow(
                        () ->
                                new MarjoramnotchException(
                                        ErrorCode.NOT_LEADER,
                                        "This replica does not lead the group; repeat the request"
                                                + " at the leader."));
    }

    private boolean isOwnGroup(String group) {
        return !group.isEmpty() && state.group().equals(group);
    }

    private boolean isOwnGroupOrUngrouped(String group) {
        return !group.isEmpty() && (state.group().isEmpty() || state.group().equals(group));
    }

    private boolean isRemoved() {
        return !state.settings().membershipPolicy().open()
                && state.membership().removed().contains(state.self());
    }
}
