package org.marjoramnotch.daemon.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * Endpoint for tests, which announces itself, counts the requests that it runs and misbehaves on
 * demand. The first part of a request's path selects the {@link StandInBehavior}. The answer to
 * {@code GET /executions} has a line "COUNT BODY" for each body that was run.
 */
public final class StandInEndpoint implements AutoCloseable {
    private final String name;
    private final String service;
    private final String incarnation = UUID.randomUUID().toString();
    private final ServerSocket server;
    private final Map<String, Integer> executions = new ConcurrentHashMap<>();
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private final Set<String> abandoned = ConcurrentHashMap.newKeySet();
    private volatile String lastTeam = "";

    /** Starts listening on a port that the operating system chooses. */
    public StandInEndpoint(String name, String service) {
        this.name = name;
        this.service = service;
        try {
            server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        daemonThread(this::acceptAll).start();
    }

    /** Runs an endpoint until it is killed; arguments: NAME SERVICE HTTP_ADDRESS... */
    public static void main(String[] arguments) throws Exception {
        StandInEndpoint endpoint = new StandInEndpoint(arguments[0], arguments[1]);
        System.out.println("event=endpoint_started port=" + endpoint.port());
        StandInClient calls = new StandInClient(arguments, 2);
        boolean[] leaving = {false};
        Thread announcing = Thread.currentThread();
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    leaving[0] = true;
                                    endpoint.announce(calls, "leaving");
                                    announcing.interrupt();
                                }));
        while (!leaving[0]) {
            endpoint.announce(calls, "active");
            Thread.sleep(1_000);
        }
    }

    /** Renews the announcement once; returns the HTTP status, or 0 if there was no answer. */
    public int announce(StandInClient calls, String state) {
        StandInClient.Answer answer = calls.put("/v1/endpoints/" + name, announcement(state));
        answer.texts("abandon")
                .forEach(
                        attempt -> {
                            if (!running.contains(attempt)) {
                                abandoned.add(attempt);
                            }
                        });
        return answer.status();
    }

    /** Returns the port. */
    public int port() {
        return server.getLocalPort();
    }

    /** Returns how many times a body was run. */
    public int executions(String body) {
        return executions.getOrDefault(body, 0);
    }

    /** Returns the team named in the last request. */
    public String lastTeam() {
        return lastTeam;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private String announcement(String state) {
        return """
        {"incarnation":"%s","service":"%s","host":"127.0.0.1","port":%d,"slots":8,\
        "connections":64,"zone":"zone-1","vm":"vm-%s","state":"%s","running":[%s],"abandoned":[%s]}\
        """
                .formatted(
                        incarnation,
                        service,
                        port(),
                        name,
                        state,
                        quoted(running),
                        quoted(abandoned));
    }

    private static String quoted(Set<String> texts) {
        return texts.stream().map(text -> '"' + text + '"').collect(Collectors.joining(","));
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                daemonThread(() -> serve(socket)).start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            boolean open = true;
            while (open) {
                open = serve(socket, StandInRequest.read(socket.getInputStream()));
            }
        } catch (IOException disconnected) {
            return;
        }
    }

    private boolean serve(Socket socket, StandInRequest request) throws IOException {
        if (request.path().equals("/executions")) {
            return new StandInAnswer(socket, request.withBody(executionLines()))
                    .write(StandInBehavior.ECHO);
        }
        String attempt = request.headers().getOrDefault("marjoramnotch-attempt", "");
        lastTeam = request.headers().getOrDefault("marjoramnotch-team", "");
        String granted = request.headers().getOrDefault("marjoramnotch-incarnation", "");
        boolean forOtherIncarnation = !granted.isEmpty() && !granted.equals(incarnation);
        boolean refused = abandoned.contains(attempt) || forOtherIncarnation;
        StandInBehavior behavior = refused ? StandInBehavior.NOT_RUN : request.behavior();
        if (behavior != StandInBehavior.NOT_RUN) {
            executions.merge(request.bodyText(), 1, Integer::sum);
        }
        running.add(attempt);
        try {
            return new StandInAnswer(socket, request).write(behavior);
        } finally {
            running.remove(attempt);
        }
    }

    private String executionLines() {
        return executions.entrySet().stream()
                .map(entry -> entry.getValue() + " " + entry.getKey() + "\n")
                .collect(Collectors.joining());
    }

    private static Thread daemonThread(Runnable work) {
        Thread thread = new Thread(work, "stand-in");
        thread.setDaemon(true);
        return thread;
    }
}
