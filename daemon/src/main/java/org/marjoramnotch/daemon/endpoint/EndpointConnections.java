package org.marjoramnotch.daemon.endpoint;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the connections of this entry to each endpoint and keeps idle ones for a short time, so
 * that a path that has gone silent is seldom met. Used by one thread.
 */
public final class EndpointConnections {
    private static final long LONGEST_IDLE_MILLISECONDS = 2_000;

    private final int largestPerEndpoint;
    private final Map<EndpointAddress, Endpoint> endpoints = new HashMap<>();

    /** Creates an empty pool with a limit for each endpoint. */
    public EndpointConnections(int largestPerEndpoint) {
        this.largestPerEndpoint = largestPerEndpoint;
    }

    /** Reserves a connection; false if the limit is reached. */
    public boolean tryReserve(EndpointAddress address) {
        Endpoint endpoint = endpoints.computeIfAbsent(address, key -> new Endpoint());
        if (endpoint.reserved >= largestPerEndpoint) {
            return false;
        }
        endpoint.reserved++;
        return true;
    }

    /** Takes the idle connection that was used last, for a reservation. */
    public Optional<EndpointConnection> takeIdle(long nowMilliseconds, EndpointAddress address) {
        Endpoint endpoint = endpoints.get(address);
        while (endpoint != null && !endpoint.idle.isEmpty()) {
            IdleConnection last = endpoint.idle.removeLast();
            if (last.isUsable(nowMilliseconds)) {
                return Optional.of(last.connection);
            }
            last.connection.close();
        }
        return Optional.empty();
    }

    /** Gives a reservation back with its connection, which is ready for the next request. */
    public void releaseIdle(
            long nowMilliseconds, EndpointAddress address, EndpointConnection connection) {
        Endpoint endpoint = endpoints.get(address);
        if (endpoint == null) {
            connection.close();
            return;
        }
        endpoint.reserved--;
        endpoint.idle.addLast(new IdleConnection(connection, nowMilliseconds));
    }

    /** Gives a reservation back whose connection is closed or was never open. */
    public void release(EndpointAddress address) {
        Endpoint endpoint = endpoints.get(address);
        if (endpoint != null) {
            endpoint.reserved--;
        }
    }

    /** Closes the idle connections to an endpoint, since one beside them has gone silent. */
    public void closeIdle(EndpointAddress address) {
        Endpoint endpoint = endpoints.get(address);
        if (endpoint != null) {
            endpoint.idle.forEach(idle -> idle.connection.close());
            endpoint.idle.clear();
        }
    }

    /** Closes connections that were idle for too long and forgets endpoints without any. */
    public void sweep(long nowMilliseconds) {
        Iterator<Endpoint> all = endpoints.values().iterator();
        while (all.hasNext()) {
            Endpoint endpoint = all.next();
            endpoint.idle.removeIf(idle -> closeUnlessUsable(nowMilliseconds, idle));
            if (endpoint.reserved == 0 && endpoint.idle.isEmpty()) {
                all.remove();
            }
        }
    }

    private static boolean closeUnlessUsable(long nowMilliseconds, IdleConnection idle) {
        if (idle.isUsable(nowMilliseconds)) {
            return false;
        }
        idle.connection.close();
        return true;
    }

    private static final class Endpoint {
        final ArrayDeque<IdleConnection> idle = new ArrayDeque<>();
        int reserved;
    }

    private record IdleConnection(EndpointConnection connection, long sinceMilliseconds) {
        boolean isUsable(long nowMilliseconds) {
            return connection.isOpen()
                    && nowMilliseconds - sinceMilliseconds <= LONGEST_IDLE_MILLISECONDS;
        }
    }
}
