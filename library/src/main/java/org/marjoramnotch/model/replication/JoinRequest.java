package org.marjoramnotch.model.replication;

import org.marjoramnotch.model.identifier.ReplicaId;

/**
 * Asks to become a member of the group.
 *
 * @param replica the replica that asks
 */
public record JoinRequest(ReplicaId replica) implements ReplicationMessage {}
