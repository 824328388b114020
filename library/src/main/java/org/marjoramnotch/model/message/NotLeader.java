package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.identifier.VmId;

/**
 * The process does not lead, or no longer.
 *
 * @param leader the leader, if known
 * @param mayHaveEffect whether the process led when the request came, so that what it proposed for
 *     the request may still take effect; otherwise the request was not looked at
 */
public record NotLeader(Optional<VmId> leader, boolean mayHaveEffect) implements CellReply {
    /** Returns the reply to a request that was not looked at. */
    public static NotLeader notProcessed(Optional<VmId> leader) {
        return new NotLeader(leader, false);
    }
}
