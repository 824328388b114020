package org.marjoramnotch.logic.replication;

import java.util.Comparator;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.TimeoutNow;

/**
 * Transfers leadership to another voter: accepts no new entries, waits until the voter has the
 * whole log, gives up the lease for the rest of the term and asks the voter to start an election.
 */
final class LeadershipTransfer {
    private final ReplicaState state;
    private final Leadership leadership;
    private @Nullable ReplicaId target;
    private long startedAtMilliseconds;

    LeadershipTransfer(ReplicaState state, Leadership leadership) {
        this.state = state;
        this.leadership = leadership;
    }

    boolean isActive() {
        return target != null;
    }

    void start() {
        if (isActive()) {
            return;
        }
        startedAtMilliseconds = state.now();
        target = mostUpToDateVoter().orElse(null);
        tick();
    }

    /** Transfers leadership without waiting until the other voter has the whole log. */
    void resign() {
        mostUpToDateVoter().ifPresent(this::sendTimeoutNow);
        state.becomeFollower(state.term(), null);
    }

    void tick() {
        if (target == null) {
            return;
        }
        FollowerProgress progress = leadership.members().get(target);
        boolean timedOut =
                state.now() - startedAtMilliseconds
                        >= state.settings().electionTimeoutMinimumMilliseconds();
        if (timedOut || progress == null) {
            target = null;
            return;
        }
        if (progress.matchIndex() == state.log().lastIndex()) {
            sendTimeoutNow(target);
            state.becomeFollower(state.term(), null);
        }
    }

    private void sendTimeoutNow(ReplicaId voter) {
        state.send(voter, new TimeoutNow(state.group(), state.term()));
    }

    private Optional<ReplicaId> mostUpToDateVoter() {
        long earliestReply = state.now() - state.settings().electionTimeoutMinimumMilliseconds();
        return state.membership().voters().stream()
                .filter(voter -> !voter.equals(state.self()))
                .filter(
                        voter ->
                                leadership.members().get(voter).lastReplyMilliseconds()
                                        > earliestReply)
                .max(
                        Comparator.comparingLong(
                                voter -> leadership.members().get(voter).matchIndex()));
    }
}
