package org.marjoramnotch.endtoend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramnotch.daemon.standin.StandInCalls;
import org.marjoramnotch.daemon.standin.StandInEndpoint;

/** Stand-in endpoints that announce themselves to the cell until they are closed. */
final class Announcer implements AutoCloseable {
    private static final long RENEWAL_MILLISECONDS = 500;

    private final Map<String, StandInEndpoint> endpoints = new TreeMap<>();
    private volatile boolean open = true;

    Announcer(List<String> addresses, String service, int count) {
        for (int number = 1; number <= count; number++) {
            String name = "endpoint-" + number;
            StandInEndpoint endpoint = new StandInEndpoint(name, service);
            endpoints.put(name, endpoint);
            Thread thread = new Thread(() -> announce(endpoint, addresses), name);
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** Returns how often any endpoint ran a body. */
    int executions(String body) {
        return endpoints.values().stream().mapToInt(endpoint -> endpoint.executions(body)).sum();
    }

    /** Returns the address of one endpoint, for calls past the cell. */
    String anyAddress() {
        int port = endpoints.values().iterator().next().port();
        return "http://127.0.0.1:" + port + "/echo";
    }

    @Override
    public void close() {
        open = false;
        endpoints.values().forEach(Announcer::close);
    }

    private static void close(StandInEndpoint endpoint) {
        try {
            endpoint.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private void announce(StandInEndpoint endpoint, List<String> addresses) {
        String[] targets =
                addresses.stream()
                        .map(address -> address.substring("http://".length()))
                        .toArray(String[]::new);
        StandInCalls calls = new StandInCalls(targets, 0);
        try {
            while (open) {
                endpoint.announce(calls, "active");
                Thread.sleep(RENEWAL_MILLISECONDS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
