package org.marjoramnotch.daemon.endpoint;

import java.util.HashMap;
import java.util.Map;

/** Bounds the connections of this entry to each endpoint. Used by one thread. */
public final class EndpointConnectionLimiter {
    private final int maximumPerEndpoint;
    private final Map<EndpointAddress, Integer> open = new HashMap<>();

    /** Creates bounds of so many connections to each endpoint. */
    public EndpointConnectionLimiter(int largestPerEndpoint) {
        this.maximumPerEndpoint = largestPerEndpoint;
    }

    /** Counts a new connection; false if the bound is reached. */
    public boolean tryReserve(EndpointAddress address) {
        int count = open.getOrDefault(address, 0);
        if (count >= maximumPerEndpoint) {
            return false;
        }
        open.put(address, count + 1);
        return true;
    }

    /** Uncounts a connection that is closed or was never opened. */
    public void release(EndpointAddress address) {
        open.computeIfPresent(address, (key, count) -> count == 1 ? null : count - 1);
    }
}
