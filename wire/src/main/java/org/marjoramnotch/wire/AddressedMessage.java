package org.marjoramnotch.wire;

import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.ReplicationMessage;

/**
 * A replication message with its sender.
 *
 * @param from the replica that sent it
 * @param message the message
 */
public record AddressedMessage(ReplicaId from, ReplicationMessage message) {}
