package org.marjoramnotch.model.replication;

import org.marjoramnotch.model.identifier.ReplicaId;

/**
 * A message with its sender and receiver, as it is sent between two processes. The receiver drops
 * it unless it is the named replica, or the named identity is empty because the sender knows only
 * the VM.
 *
 * @param from the sender
 * @param to the receiver
 * @param message the message
 */
public record ReplicationEnvelope(ReplicaId from, ReplicaId to, ReplicationMessage message) {
    /** Returns whether the message is addressed to a replica. */
    public boolean isAddressedTo(ReplicaId replica) {
        return to.vm().equals(replica.vm())
                && (to.identity().isEmpty() || to.identity().equals(replica.identity()));
    }
}
