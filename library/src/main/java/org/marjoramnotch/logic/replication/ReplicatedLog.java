package org.marjoramnotch.logic.replication;

import java.util.OptionalLong;
import java.util.Set;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.ReplicationMessage;

/**
 * One replica of a log that a group of replicas agrees on, as a deterministic state machine.
 *
 * <p>Every call may add effects. The host takes them after a batch of calls with {@link
 * #takeEffects()} and must, in this order, store and sync the writes, send the messages, and apply
 * the committed entries. No message or reply may be sent before the writes are synced.
 */
public interface ReplicatedLog {
    /** Advances timers; called at least every 50 milliseconds. */
    void tick(long nowMilliseconds);

    /** Processes a message from another replica. */
    void receive(long nowMilliseconds, ReplicaId from, ReplicationMessage message);

    /**
     * Appends a payload if this replica leads.
     *
     * @return the index of the new entry, or empty if this replica does not lead
     */
    OptionalLong propose(long nowMilliseconds, byte[] payload);

    /**
     * Forms a group that consists of this replica; the others join it automatically.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code GROUP_STATE} if
     *     this replica belongs to a group or is not on the first replica VM by name
     */
    void formGroup(long nowMilliseconds);

    /**
     * Starts the removal of a VM from the group; only the leader can do this.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code NOT_LEADER} or
     *     {@code GROUP_STATE}
     */
    void removeVm(long nowMilliseconds, VmId vm);

    /** Replaces the set of VMs to which this replica sends join requests. */
    default void setJoinContacts(Set<VmId> contacts) {}

    /**
     * Prepares for the end of the process: this replica no longer stands for election, and whenever
     * it leads, it transfers leadership to another voter. It still votes and stores entries.
     */
    void prepareStop(long nowMilliseconds);

    /**
     * Gives up leadership and the lease at once and asks the most up-to-date voter to start an
     * election; this needs no storage write.
     */
    void resign(long nowMilliseconds);

    /** Replaces the log up to an applied index with the state at that index. */
    void compact(long index, byte[] state);

    /** Returns and removes the effects that were added since the last call. */
    ReplicationEffects takeEffects();

    /**
     * Returns whether this replica may make decisions now; see {@link ReplicationStatus#ready()}.
     */
    default boolean isReady(long nowMilliseconds) {
        return status(nowMilliseconds).ready();
    }

    /**
     * Returns whether this replica leads, also while its lease has lapsed. Until it holds the lease
     * again, another replica may be elected; if it does, none was.
     */
    default boolean isLeading(long nowMilliseconds) {
        return status(nowMilliseconds).leading();
    }

    /**
     * Asks the other voters to confirm that this replica still leads.
     *
     * @return a mark for {@link #isConfirmed}
     */
    long requestConfirmation(long nowMilliseconds);

    /**
     * Returns whether a quorum has answered messages that this leader sent after the mark was
     * drawn. No other replica led before that, whatever the clocks show: unlike the lease, this
     * holds after a suspension during which the clock of this machine stood still.
     */
    boolean isConfirmed(long mark);

    /**
     * Ends the lease until a quorum answers messages that are sent after this call, since the clock
     * may have stood still during the present lease.
     */
    void distrustLease(long nowMilliseconds);

    /** Returns what this replica knows about the group. */
    ReplicationStatus status(long nowMilliseconds);
}
