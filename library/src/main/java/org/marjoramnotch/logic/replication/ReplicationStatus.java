package org.marjoramnotch.logic.replication;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.identifier.ReplicaId;

/**
 * What a replica knows about its group.
 *
 * @param self the replica
 * @param leading whether it leads and holds the leader lease at the requested time
 * @param ready whether it leads, holds the lease and has applied an entry of its own term, so that
 *     its state is up to date, and whether the group has enough voters to tolerate the configured
 *     losses
 * @param leader the leader, if known
 * @param term the current term
 * @param commitIndex the last committed index
 * @param firstIndex the first index still in the log
 * @param voters the replicas that vote
 * @param learners the replicas that receive the log without a vote
 */
public record ReplicationStatus(
        ReplicaId self,
        boolean leading,
        boolean ready,
        Optional<ReplicaId> leader,
        long term,
        long commitIndex,
        long firstIndex,
        List<ReplicaId> voters,
        List<ReplicaId> learners) {}
