package org.marjoramnotch.logic.replication;

import java.util.Optional;
import org.marjoramnotch.model.identifier.ReplicaId;

/**
 * The state that a replica must store durably besides its log.
 *
 * @param term the highest term that it has seen
 * @param votedFor the replica that it voted for in that term
 * @param group the group that it belongs to or has heard of
 */
public record HardState(long term, Optional<ReplicaId> votedFor, Optional<String> group) {
    /** Returns the state of a replica that has stored nothing. */
    public static HardState empty() {
        return new HardState(0, Optional.empty(), Optional.empty());
    }

    HardState withTerm(long newTerm) {
        return new HardState(newTerm, Optional.empty(), group);
    }

    HardState withVote(ReplicaId candidate) {
        return new HardState(term, Optional.of(candidate), group);
    }

    HardState withGroup(String newGroup) {
        return new HardState(term, votedFor, Optional.of(newGroup));
    }
}
