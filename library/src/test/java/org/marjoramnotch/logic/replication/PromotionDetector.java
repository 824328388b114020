package org.marjoramnotch.logic.replication;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.model.identifier.ReplicaId;

/** Detects that learners have been promoted to voters. */
public final class PromotionDetector {
    private Set<ReplicaId> voters = Set.of();

    /** Forgets the voters, so that those present at the next call don't count as added. */
    public void reset() {
        voters = Set.of();
    }

    /** Returns the voters that were added since the last call; none at the first call. */
    public Set<ReplicaId> detect(Optional<ReplicationStatus> leader) {
        Set<ReplicaId> current = leader.map(status -> Set.copyOf(status.voters())).orElse(voters);
        Set<ReplicaId> promoted = new HashSet<>(voters.isEmpty() ? Set.of() : current);
        promoted.removeAll(voters);
        voters = current;
        return promoted;
    }
}
