package org.marjoramnotch.daemon.duty;

import org.marjoramnotch.logic.cell.OutgoingReply;
import org.marjoramnotch.logic.replication.ReplicationEffects;

/** Takes what leaves a replica once its writes are synced. */
public interface CellOutput {
    /** Sends a message to another replica; it may be lost. */
    void send(ReplicationEffects.Outgoing message);

    /** Sends a reply by the link that the request came by; it may be lost. */
    void reply(OutgoingReply reply);

    /** Advances time, so that silent links are noticed. */
    void tick(long nowMilliseconds);
}
