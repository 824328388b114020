package org.marjoramnotch.logic.replication;

import java.util.Collections;
import java.util.Set;
import java.util.stream.Collectors;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.Membership;

/**
 * The group that a blank replica belongs to. A replica is blank while it holds no entry of a
 * leader: it has then acknowledged none, and may move to another group. Term and vote stay, so that
 * it never votes twice in a term. Once it holds an entry of a leader, it never moves again.
 */
final class Foundation {
    private final ReplicaState state;
    private FoundingListener listener = (decision, group) -> {};
    private String lastReport = "";

    Foundation(ReplicaState state) {
        this.state = state;
    }

    void setListener(FoundingListener newListener) {
        listener = newListener;
    }

    boolean isBlank() {
        ReplicaLog log = state.log();
        boolean leaderKnown = state.leader().isPresent() || state.commitIndex() > 0;
        if (leaderKnown || log.snapshot().isPresent()) {
            return false;
        }
        return log.lastIndex() == 0 ? state.group().isEmpty() : holdsOnlyFoundingEntry(log);
    }

    /** Returns whether a group may found itself anew by seeds that are all blank. */
    boolean allows(Set<VmId> seeds, Set<VmId> proposedSeeds) {
        boolean ungrouped = state.group().isEmpty();
        Set<VmId> founders =
                state.membership().voters().stream()
                        .map(ReplicaId::vm)
                        .collect(Collectors.toUnmodifiableSet());
        return (ungrouped ? seeds : founders).equals(proposedSeeds);
    }

    /** Moves this blank replica to another group. */
    void adopt(Membership membership, FoundingDecision decision) {
        take(membership);
        state.timer().scheduleRetry(state.now(), state.voterPosition());
        report(decision, membership.group());
    }

    /** Makes the founding entry of a group the only entry of this blank replica. */
    void take(Membership membership) {
        leaveGroup();
        state.log().append(FoundingEntry.of(membership));
        state.moveToGroup(membership.group());
    }

    /** Gives up the founding entry of this blank replica for a group that holds entries. */
    void giveUpFor(String group) {
        leaveGroup();
        state.moveToGroup(group);
        report(FoundingDecision.GIVEN_UP, group);
    }

    /** Reports a decision, unless it repeats the last one. */
    void report(FoundingDecision decision, String group) {
        String report = decision + group;
        if (!report.equals(lastReport)) {
            lastReport = report;
            listener.onDecision(decision, group);
        }
    }

    /** Allows only one VM to form a group, so that two operators cannot form two groups at once. */
    void requireFirstVm() {
        VmId first = Collections.min(state.settings().replicaVms());
        if (!first.equals(state.self().vm())) {
            throw new MarjoramnotchException(
                    ErrorCode.GROUP_STATE,
                    "Only the first replica VM by name, "
                            + first
                            + ", may form the group; send the request there.");
        }
    }

    private void leaveGroup() {
        state.becomeFollower(Math.max(state.term(), FoundingEntry.TERM), null);
        if (state.log().lastIndex() > 0) {
            state.truncateFrom(state.log().firstIndex());
        }
    }

    private static boolean holdsOnlyFoundingEntry(ReplicaLog log) {
        return log.lastIndex() == 1 && FoundingEntry.isFounding(log.entry(1));
    }
}
