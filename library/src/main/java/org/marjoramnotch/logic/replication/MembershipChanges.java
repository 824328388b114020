package org.marjoramnotch.logic.replication;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.Membership;

/**
 * Changes the membership by one replica at a time: removes identities whose VM has lost its disk,
 * adds replicas that ask to join as learners, and promotes learners that have caught up.
 */
final class MembershipChanges {
    private static final int SILENCE_LIMIT_JOIN_INTERVALS = 3;

    private record PendingJoin(ReplicaId replica, long requestedAtMilliseconds) {}

    private final ReplicaState state;
    private final Leadership leadership;
    private final Map<VmId, PendingJoin> pendingJoins = new TreeMap<>();

    MembershipChanges(ReplicaState state, Leadership leadership) {
        this.state = state;
        this.leadership = leadership;
    }

    void onJoinRequest(ReplicaId replica) {
        Membership membership = state.membership();
        boolean rejected =
                membership.contains(replica)
                        || !policy().open()
                                && (!state.settings().replicaVms().contains(replica.vm())
                                        || membership.removed().contains(replica));
        if (!rejected) {
            pendingJoins.put(replica.vm(), new PendingJoin(replica, state.now()));
        }
    }

    void tick() {
        if (!mayChange()) {
            return;
        }
        long earliestRequest =
                state.now()
                        - SILENCE_LIMIT_JOIN_INTERVALS
                                * state.settings().joinIntervalMilliseconds();
        pendingJoins.values().removeIf(join -> join.requestedAtMilliseconds() < earliestRequest);
        nextChange().ifPresent(leadership::propose);
    }

    /** Removes the member on a VM at an operator's request. */
    void remove(VmId vm) {
        ReplicaId member =
                state.membership()
                        .membersOn(vm)
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        groupState(
                                                "VM "
                                                        + vm
                                                        + " has no replica in the group; read the"
                                                        + " group's status for the VMs that have"
                                                        + " one."));
        if (member.equals(state.self())) {
            throw groupState(
                    "VM "
                            + vm
                            + " leads the group; stop its daemon first, then repeat the request at"
                            + " the new leader.");
        }
        if (!mayChange()) {
            throw groupState("Another membership change is under way; repeat the request later.");
        }
        pendingJoins.remove(vm);
        leadership.propose(state.membership().without(member));
    }

    /**
     * Returns whether the last membership change and an entry of this term are committed, and no
     * leadership transfer is active.
     */
    private boolean mayChange() {
        return state.commitIndex() >= state.log().membershipIndex()
                && state.commitIndex() >= leadership.firstOwnIndex()
                && !leadership.transfer().isActive();
    }

    private Optional<Membership> nextChange() {
        for (PendingJoin join : pendingJoins.values()) {
            Optional<Membership> change = changeForJoin(join.replica());
            if (change.isPresent()) {
                return change;
            }
        }
        Optional<ReplicaId> lost = policy().open() ? silentVoter() : Optional.empty();
        if (hasExcessVoter()) {
            Optional<ReplicaId> leaving = haveAllVotersReplied() ? excessVoter() : Optional.empty();
            return lost.or(() -> leaving).map(state.membership()::without);
        }
        Optional<Membership> promotion =
                hasEnoughVoters() && lost.isEmpty() ? Optional.empty() : promotion();
        return promotion.or(() -> silentLearner().map(state.membership()::without));
    }

    private Optional<Membership> promotion() {
        return state.membership().learners().stream()
                .filter(this::mayPromote)
                .findFirst()
                .map(state.membership()::withPromoted);
    }

    /**
     * Returns a learner that has been silent for several join intervals; if it comes back, it asks
     * to join again.
     */
    private Optional<ReplicaId> silentLearner() {
        long silence = SILENCE_LIMIT_JOIN_INTERVALS * state.settings().joinIntervalMilliseconds();
        return state.membership().learners().stream()
                .filter(learner -> policy().open() && silenceMilliseconds(learner) >= silence)
                .findFirst();
    }

    private MembershipPolicy policy() {
        return state.settings().membershipPolicy();
    }

    private boolean hasEnoughVoters() {
        return state.membership().voters().size() >= policy().maximumVoters();
    }

    private boolean hasExcessVoter() {
        return state.membership().voters().size() > policy().maximumVoters();
    }

    /**
     * Returns whether every other voter has replied to this leader, so that it can tell which
     * voters are lost.
     */
    private boolean haveAllVotersReplied() {
        return state.membership().voters().stream()
                .filter(voter -> !voter.equals(state.self()))
                .allMatch(
                        voter ->
                                leadership.members().get(voter).lastReplyMilliseconds()
                                        >= leadership.startedAtMilliseconds());
    }

    /** Returns the voter to remove if there is one too many; it joins again as a learner. */
    private Optional<ReplicaId> excessVoter() {
        return state.membership().voters().stream()
                .filter(voter -> !voter.equals(state.self()))
                .reduce((first, second) -> second);
    }

    /** Returns a voter that has been silent for so long that a learner may replace it. */
    private Optional<ReplicaId> silentVoter() {
        return state.membership().voters().stream()
                .filter(voter -> !voter.equals(state.self()))
                .filter(voter -> silenceMilliseconds(voter) >= policy().replaceAfterMilliseconds())
                .findFirst();
    }

    private long silenceMilliseconds(ReplicaId member) {
        FollowerProgress progress = leadership.members().get(member);
        return state.now()
                - Math.max(progress.lastReplyMilliseconds(), progress.trackedSinceMilliseconds());
    }

    private Optional<Membership> changeForJoin(ReplicaId joining) {
        Membership membership = state.membership();
        boolean barred = !policy().open() && membership.removed().contains(joining);
        if (membership.contains(joining) || barred) {
            return Optional.empty();
        }
        if (hasLiveMember(joining.vm())) {
            return Optional.empty();
        }
        List<ReplicaId> membersOnVm = membership.membersOn(joining.vm()).toList();
        // A lost voter stays until a learner has replaced it, so that the quorum never shrinks.
        return membersOnVm.stream()
                .filter(member -> !policy().open() || membership.learners().contains(member))
                .findFirst()
                .map(membership::without)
                .or(() -> Optional.of(membership.withLearner(joining)));
    }

    boolean hasLiveMember(VmId vm) {
        return state.membership().membersOn(vm).anyMatch(this::isAlive);
    }

    private boolean isAlive(ReplicaId member) {
        return member.equals(state.self()) || hasRepliedRecently(member);
    }

    private boolean mayPromote(ReplicaId learner) {
        return hasRepliedRecently(learner)
                && leadership
                        .members()
                        .get(learner)
                        .hasCaughtUp(
                                state.log().lastIndex(),
                                state.now(),
                                state.settings().electionTimeoutMinimumMilliseconds());
    }

    private boolean hasRepliedRecently(ReplicaId member) {
        return silenceMilliseconds(member) < state.settings().electionTimeoutMaximumMilliseconds();
    }

    private static MarjoramnotchException groupState(String message) {
        return new MarjoramnotchException(ErrorCode.GROUP_STATE, message);
    }
}
