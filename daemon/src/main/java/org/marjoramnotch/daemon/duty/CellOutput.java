package org.marjoramnotch.daemon.duty;

import org.marjoramnotch.logic.cell.OutgoingReply;
import org.marjoramnotch.logic.replication.ReplicationEffects;

/** Sends the messages and replies of a replica after its writes have been synced. */
public interface CellOutput {
    /** Sends a message to another replica; it may be lost. */
    void send(ReplicationEffects.Outgoing message);

    /** Sends a reply over the link on which the request arrived; it may be lost. */
    void reply(OutgoingReply reply);

    /** Advances the time, so that links without traffic are detected. */
    void tick(long nowMilliseconds);
}
