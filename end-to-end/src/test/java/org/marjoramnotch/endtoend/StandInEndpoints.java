package org.marjoramnotch.endtoend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.marjoramnotch.daemon.standin.StandInClient;
import org.marjoramnotch.daemon.standin.StandInEndpoint;

/** Stand-in endpoints that announce themselves to the cell until they are closed. */
final class StandInEndpoints implements AutoCloseable {
    private static final long RENEWAL_MILLISECONDS = 500;

    private final Map<String, StandInEndpoint> endpoints = new TreeMap<>();
    private final Set<StandInEndpoint> leaving = ConcurrentHashMap.newKeySet();
    private final List<String> addresses;
    private volatile boolean open = true;

    StandInEndpoints(List<String> addresses, String service, int count) {
        this.addresses = addresses;
        for (int number = 1; number <= count; number++) {
            String name = "endpoint-" + number;
            StandInEndpoint endpoint = new StandInEndpoint(name, service);
            endpoints.put(name, endpoint);
            Thread thread = new Thread(() -> announceAll(endpoint), name);
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** Returns how often the endpoints together executed the request with the given body. */
    int executions(String body) {
        return endpoints.values().stream().mapToInt(endpoint -> endpoint.executions(body)).sum();
    }

    /** Returns the address of one endpoint, for calls that bypass the cell. */
    String anyAddress() {
        int port = endpoints.values().iterator().next().port();
        return "http://127.0.0.1:" + port + "/echo";
    }

    /** Returns how often one endpoint executed the request with the given body. */
    int executions(String endpoint, String body) {
        return endpoints.get(endpoint).executions(body);
    }

    /**
     * Announces that an endpoint is leaving, and returns once the cell has accepted the
     * announcement.
     */
    void leave(String name) {
        StandInEndpoint endpoint = endpoints.get(name);
        leaving.add(endpoint);
        StandInClient calls = calls();
        Poll.until("the endpoint is announced as leaving", () -> announce(endpoint, calls));
    }

    @Override
    public void close() {
        open = false;
        endpoints.values().forEach(StandInEndpoints::close);
    }

    private static void close(StandInEndpoint endpoint) {
        try {
            endpoint.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private void announceAll(StandInEndpoint endpoint) {
        StandInClient calls = calls();
        while (open) {
            announce(endpoint, calls);
            Poll.pause(RENEWAL_MILLISECONDS);
        }
    }

    /**
     * Sends one announcement at a time, so that a late one cannot revert the announcement that the
     * endpoint is leaving.
     */
    private boolean announce(StandInEndpoint endpoint, StandInClient calls) {
        synchronized (endpoint) {
            String state = leaving.contains(endpoint) ? "leaving" : "active";
            return endpoint.announce(calls, state) == 200;
        }
    }

    private StandInClient calls() {
        String[] targets =
                addresses.stream()
                        .map(address -> address.substring("http://".length()))
                        .toArray(String[]::new);
        return new StandInClient(targets, 0);
    }
}
