package org.marjoramnotch.daemon.link;

import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellRequest;

/** Sends requests to replicas. */
@FunctionalInterface
public interface CellTransport {
    /** Returns whether requests can be sent to a VM. */
    default boolean isReachable(VmId vm) {
        return false;
    }

    /**
     * Accepts a request for sending.
     *
     * @return false if the request was not accepted because the link is down or full
     */
    boolean send(VmId replica, long correlation, CellRequest request);
}
