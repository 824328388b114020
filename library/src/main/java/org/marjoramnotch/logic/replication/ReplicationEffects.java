package org.marjoramnotch.logic.replication;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.ReplicationMessage;

/**
 * The effects that the host of a replica must carry out, in the order of the components.
 *
 * @param writes to be stored and synced before anything else
 * @param messages to be sent once the writes are synced
 * @param restored a snapshot to replace the applied state with, before the committed entries
 * @param committed entries to apply, in order
 */
public record ReplicationEffects(
        List<StorageWrite> writes,
        List<Outgoing> messages,
        Optional<RestoredState> restored,
        List<CommittedEntry> committed) {
    /** Returns whether there are no effects. */
    public boolean isEmpty() {
        return writes.isEmpty() && messages.isEmpty() && restored.isEmpty() && committed.isEmpty();
    }

    /**
     * A message to another replica.
     *
     * @param to the receiver; the network routes by its VM, and its identity may be unknown
     * @param message the message
     */
    public record Outgoing(ReplicaId to, ReplicationMessage message) {}

    /**
     * An entry to apply.
     *
     * @param index its index
     * @param term its term
     * @param payload the proposed payload
     */
    public record CommittedEntry(long index, long term, byte[] payload) {}

    /**
     * A state that replaces all entries up to its index.
     *
     * @param index the index
     * @param state the state that was given to {@link ReplicatedLog#compact}
     */
    public record RestoredState(long index, byte[] state) {}
}
