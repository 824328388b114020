package org.marjoramnotch.logic.replication;

import java.util.OptionalLong;
import java.util.Set;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.ReplicationMessage;

/**
 * One replica's part in a log that a group agrees on, as a deterministic state machine.
 *
 * <p>Every call may add effects. The host takes them after a batch of calls with {@link
 * #takeEffects()} and must, in this order: store and sync the writes, send the messages, hand on
 * the committed entries. No message or reply may leave before the writes are synced.
 */
public interface ReplicatedLog {
    /** Advances timers; called at least every 50 milliseconds. */
    void tick(long nowMilliseconds);

    /** Takes a message of another replica. */
    void receive(long nowMilliseconds, ReplicaId from, ReplicationMessage message);

    /**
     * Appends a payload if this replica leads.
     *
     * @return the index of the new entry, or empty if this replica does not lead
     */
    OptionalLong propose(long nowMilliseconds, byte[] payload);

    /**
     * Forms a group of this replica alone; the others join it by themselves.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code GROUP_STATE} if
     *     this replica belongs to a group or is not on the first replica VM by name
     */
    void formGroup(long nowMilliseconds);

    /**
     * Starts the removal of a VM from the group, by its leader.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code NOT_LEADER} or
     *     {@code GROUP_STATE}
     */
    void removeVm(long nowMilliseconds, VmId vm);

    /** Replaces the VMs that this replica asks to let it join. */
    default void setJoinContacts(Set<VmId> contacts) {}

    /** Hands leadership to the voter that is furthest ahead, if this replica leads. */
    void transferLeadership(long nowMilliseconds);

    /**
     * Gives up leadership and the lease at once and asks the voter that is furthest ahead to start
     * an election; nothing is stored for it.
     */
    void resign(long nowMilliseconds);

    /** Replaces the log up to an applied index by the state at that index. */
    void compact(long index, byte[] state);

    /** Returns the effects since the last call and forgets them. */
    ReplicationEffects takeEffects();

    /** Tells whether this replica may decide now; see {@link ReplicationStatus#ready()}. */
    default boolean isReady(long nowMilliseconds) {
        return status(nowMilliseconds).ready();
    }

    /** Tells what this replica knows of the group. */
    ReplicationStatus status(long nowMilliseconds);
}
