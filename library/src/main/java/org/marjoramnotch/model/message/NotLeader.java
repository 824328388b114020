package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.identifier.VmId;

/**
 * Reports that this process is not the leader, or no longer is.
 *
 * @param leader the leader, if known
 * @param mayHaveEffect whether the process was the leader when the request arrived, so that a
 *     command it proposed may still take effect; otherwise the request was not processed
 */
public record NotLeader(Optional<VmId> leader, boolean mayHaveEffect) implements CellReply {
    /** Returns the reply to a request that was not processed. */
    public static NotLeader notProcessed(Optional<VmId> leader) {
        return new NotLeader(leader, false);
    }
}
