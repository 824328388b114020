package org.marjoramnotch.logic.replication;

import java.util.HashSet;
import java.util.Set;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.TimeoutNow;
import org.marjoramnotch.model.replication.VoteKind;
import org.marjoramnotch.model.replication.VoteReply;
import org.marjoramnotch.model.replication.VoteRequest;

/** Runs elections: requests votes when the leader is lost, and answers vote requests. */
final class Election {
    private final ReplicaState state;
    private final Set<ReplicaId> granted = new HashSet<>();

    Election(ReplicaState state) {
        this.state = state;
    }

    void tick() {
        if (state.role() != Role.LEADER && mayStand() && state.timer().isDue(state.now())) {
            state.becomePreCandidate();
            state.timer().scheduleRetry(state.now(), state.voterPosition());
            requestVotes(VoteKind.PRE_VOTE, state.term() + 1);
        }
    }

    /** Starts an election at the request of the leader, which has given up its lease. */
    void onTimeoutNow(ReplicaId from, TimeoutNow message) {
        boolean fromLeader = state.leader().filter(from::equals).isPresent();
        if (message.term() == state.term() && fromLeader && mayStand()) {
            campaign(VoteKind.TRANSFER);
        }
    }

    void onRequest(ReplicaId from, VoteRequest request) {
        if (request.kind() == VoteKind.PRE_VOTE) {
            boolean grant =
                    request.term() > state.term() && !supportsLeader() && isUpToDate(request);
            reply(from, request, grant);
            return;
        }
        if (request.term() < state.term()
                || (request.kind() == VoteKind.ELECTION && supportsLeader())) {
            reply(from, request, false);
            return;
        }
        if (request.term() > state.term()) {
            state.becomeFollower(request.term(), null);
        }
        boolean mayVote =
                state.leader().isEmpty()
                        && state.hardState().votedFor().map(from::equals).orElse(true);
        boolean grant = mayVote && isUpToDate(request);
        if (grant) {
            state.recordVote(from);
            state.becomeFollower(state.term(), null);
            state.timer().scheduleTimeout(state.now());
        }
        reply(from, request, grant);
    }

    void onReply(ReplicaId from, VoteReply reply) {
        if (reply.term() > state.term()) {
            state.becomeFollower(reply.term(), null);
            return;
        }
        if (!reply.granted()) {
            return;
        }
        boolean preVote = reply.kind() == VoteKind.PRE_VOTE;
        Role awaitedRole = preVote ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        long awaitedTerm = preVote ? state.term() + 1 : state.term();
        if (state.role() == awaitedRole && reply.requestTerm() == awaitedTerm) {
            granted.add(from);
            countVotes(reply.kind());
        }
    }

    private boolean mayStand() {
        return state.isVoter() && !state.isStopping();
    }

    private void campaign(VoteKind kind) {
        state.becomeCandidate();
        state.timer().scheduleRetry(state.now(), state.voterPosition());
        requestVotes(kind, state.term());
    }

    private void requestVotes(VoteKind kind, long term) {
        granted.clear();
        granted.add(state.self());
        VoteRequest request =
                new VoteRequest(
                        state.group(), kind, term, state.log().lastIndex(), state.log().lastTerm());
        state.membership().voters().stream()
                .filter(voter -> !voter.equals(state.self()))
                .forEach(voter -> state.send(voter, request));
        countVotes(kind);
    }

    private void countVotes(VoteKind kind) {
        long votes = state.membership().voters().stream().filter(granted::contains).count();
        if (votes < state.membership().quorum()) {
            return;
        }
        if (kind == VoteKind.PRE_VOTE) {
            campaign(VoteKind.ELECTION);
        } else {
            state.becomeLeader();
        }
    }

    /**
     * Returns whether a leader may still hold a lease, so that a vote now could let a second leader
     * hold one at the same time.
     */
    private boolean supportsLeader() {
        return state.leadership()
                .map(Leadership::mayHoldLease)
                .orElseGet(() -> state.timer().supportsLeader(state.now()));
    }

    private boolean isUpToDate(VoteRequest request) {
        if (request.lastTerm() != state.log().lastTerm()) {
            return request.lastTerm() > state.log().lastTerm();
        }
        return request.lastIndex() >= state.log().lastIndex();
    }

    private void reply(ReplicaId to, VoteRequest request, boolean grant) {
        state.send(to, new VoteReply(state.term(), request.kind(), request.term(), grant));
    }
}
