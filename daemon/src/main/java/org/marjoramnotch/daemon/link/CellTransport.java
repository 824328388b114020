package org.marjoramnotch.daemon.link;

import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellRequest;

/** Carries requests to replicas. */
@FunctionalInterface
public interface CellTransport {
    /** Tells whether a VM can be sent requests. */
    default boolean isReachable(VmId vm) {
        return false;
    }

    /**
     * Hands a request over for sending.
     *
     * @return false if it was not taken because the link is down or full
     */
    boolean send(VmId replica, long correlation, CellRequest request);
}
