package org.marjoramnotch.logic.cell;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.model.identifier.ReplicaId;

/**
 * Detects changes of the group's members, which are logged because a leader with too few voters
 * makes no decisions.
 */
final class MembershipChangeDetector {
    private List<ReplicaId> voters = List.of();
    private List<ReplicaId> learners = List.of();

    /** Returns a log entry if the members differ from those at the last call. */
    Optional<DecisionLogEntry> detectChange(ReplicationStatus status) {
        if (status.voters().equals(voters) && status.learners().equals(learners)) {
            return Optional.empty();
        }
        voters = status.voters();
        learners = status.learners();
        return Optional.of(
                DecisionLogEntry.of(
                        "group_members_changed",
                        "term",
                        status.term(),
                        "leads",
                        status.leading(),
                        "voters",
                        voters,
                        "learners",
                        learners));
    }
}
