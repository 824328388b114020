package org.marjoramnotch.daemon.endpoint;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the number of connections of this entry to each endpoint. Must be used by one thread only.
 */
public final class EndpointConnectionLimiter {
    private final int maximumPerEndpoint;
    private final Map<EndpointAddress, Integer> open = new HashMap<>();

    /** Creates a limiter with the given maximum number of connections per endpoint. */
    public EndpointConnectionLimiter(int maximumPerEndpoint) {
        this.maximumPerEndpoint = maximumPerEndpoint;
    }

    /** Reserves a connection. Returns false if the limit is reached. */
    public boolean tryReserve(EndpointAddress address) {
        int count = open.getOrDefault(address, 0);
        if (count >= maximumPerEndpoint) {
            return false;
        }
        open.put(address, count + 1);
        return true;
    }

    /** Releases the reservation of a connection that is closed or was never opened. */
    public void release(EndpointAddress address) {
        open.computeIfPresent(address, (key, count) -> count == 1 ? null : count - 1);
    }
}
