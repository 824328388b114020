package org.marjoramnotch.endtoend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.apache.commons.codec.digest.DigestUtils;
import org.marjoramnotch.daemon.transport.PortReservation;

/**
 * A cell whose replicas and entries run as separate processes, each on its own loopback address.
 */
final class Cell implements AutoCloseable {
    static final String OPERATOR_KEY = "operator-key-of-the-test";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<DaemonProcess> daemons = new ArrayList<>();
    private final HttpCaller caller = new HttpCaller();
    private final Path folder;
    private final int replicaCount;

    /** Starts the processes; the first ones are replicas. */
    Cell(Path folder, int replicaCount, int entryCount) throws IOException {
        this(folder, replicaCount, entryCount, address -> address);
    }

    /**
     * Starts the processes. Plain entries connect to the replicas at the addresses that the route
     * returns for them.
     */
    Cell(Path folder, int replicaCount, int entryCount, UnaryOperator<InetSocketAddress> route)
            throws IOException {
        this.folder = folder;
        this.replicaCount = replicaCount;
        Path operatorKeyFile = folder.resolve("operator.sha256");
        Files.writeString(operatorKeyFile, DigestUtils.sha256Hex(OPERATOR_KEY));
        ArrayNode replicas = JSON.createArrayNode();
        List<int[]> ports = new ArrayList<>();
        for (int number = 1; number <= replicaCount + entryCount; number++) {
            ports.add(new int[] {PortReservation.reserve(), PortReservation.reserve()});
            if (number <= replicaCount) {
                ObjectNode replica = replicas.addObject();
                replica.put("vm", "vm-" + number).put("host", host(number));
                replica.put("port", ports.get(number - 1)[1]);
            }
        }
        for (int number = 1; number <= replicaCount + entryCount; number++) {
            ArrayNode links = number <= replicaCount ? replicas : routed(replicas, route);
            daemons.add(start(folder, number, ports.get(number - 1), links, operatorKeyFile));
        }
        daemons.forEach(this::awaitLive);
    }

    /** Forms the group, waits until all replicas vote and puts the rules in force. */
    void form(String rules) {
        caller.operator("POST", daemons.get(0).httpAddress() + "/v1/operator/form", "");
        Poll.until(
                "all replicas vote",
                () ->
                        status().map(status -> status.path("voters").size() == replicaCount)
                                .orElse(false));
        ObjectNode change = JSON.createObjectNode();
        change.put("requestId", "first").put("expectedVersion", 0).put("text", rules);
        Poll.until(
                "the rules are in force",
                () ->
                        caller.operator(
                                                "PUT",
                                                daemons.get(0).httpAddress() + "/v1/operator/rules",
                                                change.toString())
                                        .statusCode()
                                == 200);
    }

    List<DaemonProcess> daemons() {
        return daemons;
    }

    HttpCaller caller() {
        return caller;
    }

    List<String> addresses() {
        return daemons.stream().map(DaemonProcess::httpAddress).toList();
    }

    /** Returns the state of the cell as reported by any serving daemon. */
    Optional<JsonNode> status() {
        return daemons.stream()
                .filter(DaemonProcess::isServing)
                .flatMap(daemon -> statusOf(daemon).stream())
                .findFirst();
    }

    /** Returns the state of the cell as reported by one daemon. */
    Optional<JsonNode> statusOf(DaemonProcess daemon) {
        try {
            String uri = daemon.httpAddress() + "/v1/operator/status";
            HttpResponse<String> answer = caller.operator("GET", uri, "");
            return Optional.of(answer)
                    .filter(given -> given.statusCode() == 200)
                    .map(given -> Json.read(given.body()));
        } catch (UncheckedIOException exception) {
            return Optional.empty();
        }
    }

    /** Returns how many attempts the cell reports as running; -1 while no daemon reports it. */
    int running() {
        return status().map(status -> status.path("running").asInt()).orElse(-1);
    }

    /** Returns the process of the leader, once there is one. */
    DaemonProcess leader() {
        String[] leader = new String[1];
        Poll.until(
                "the cell has a leader",
                () -> {
                    leader[0] = status().map(status -> status.path("leader").asText()).orElse("");
                    return daemons.stream()
                            .anyMatch(
                                    daemon -> daemon.vm().equals(leader[0]) && daemon.isServing());
                });
        return daemons.stream()
                .filter(daemon -> daemon.vm().equals(leader[0]))
                .findFirst()
                .orElseThrow();
    }

    /** Returns a process that currently has the role. */
    DaemonProcess find(CellRole role) {
        DaemonProcess leader = leader();
        return switch (role) {
            case LEADER -> leader;
            case FOLLOWER -> daemons.get(leader == daemons.get(0) ? 1 : 0);
            case ENTRY -> daemons.get(daemons.size() - 1);
        };
    }

    /** Restarts the daemons that have ended. */
    void restartEnded() {
        daemons.stream().filter(daemon -> !daemon.isAlive()).forEach(DaemonProcess::restart);
    }

    /** Removes the stored data of a replica that has ended, as the loss of a disk does. */
    void emptyDataFolder(DaemonProcess daemon) {
        Path data = dataFolder(folder, daemon.vm());
        try {
            Files.move(data, folder.resolve("lost-" + daemon.vm()));
            Files.createDirectory(data);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Waits until every daemon is ready to serve. */
    void awaitReady() {
        for (DaemonProcess daemon : daemons) {
            String uri = daemon.httpAddress() + "/health/ready";
            Poll.until(
                    "daemon " + daemon.vm() + " is ready",
                    () -> caller.get(uri).statusCode() == 200);
        }
        leader();
    }

    /** Waits until a request through a serving daemon is answered. */
    void awaitService(CallerLoad load) {
        String live =
                daemons.stream()
                        .filter(DaemonProcess::isServing)
                        .findFirst()
                        .orElseThrow()
                        .httpAddress();
        int[] number = {0};
        Poll.until(
                "a request is answered", () -> load.call(live, "probe-" + number[0]++).answered());
    }

    @Override
    public void close() {
        daemons.forEach(DaemonProcess::close);
    }

    private static ArrayNode routed(ArrayNode replicas, UnaryOperator<InetSocketAddress> route) {
        ArrayNode routed = replicas.deepCopy();
        for (JsonNode replica : routed) {
            String host = replica.path("host").asText();
            InetSocketAddress link =
                    route.apply(new InetSocketAddress(host, replica.path("port").asInt()));
            ((ObjectNode) replica).put("host", link.getHostString()).put("port", link.getPort());
        }
        return routed;
    }

    private static DaemonProcess start(
            Path folder, int number, int[] ports, ArrayNode replicas, Path operatorKeyFile)
            throws IOException {
        boolean replica = number <= replicas.size();
        ObjectNode settings = JSON.createObjectNode();
        settings.put("vm", "vm-" + number).put("availabilityZone", "zone-" + (number % 4));
        ArrayNode roles = settings.putArray("roles").add("entry");
        settings.put("httpHost", host(number)).put("httpPort", ports[0]);
        settings.put("linkHost", host(number)).put("linkPort", ports[1]);
        settings.set("replicas", replicas);
        settings.put("operatorKeySha256File", operatorKeyFile.toString());
        if (replica) {
            roles.add("replica");
            settings.put("dataFolder", dataFolder(folder, "vm-" + number).toString());
        }
        Path file = folder.resolve("settings-" + number + ".json");
        Files.writeString(file, settings.toPrettyString());
        return new DaemonProcess(
                "vm-" + number,
                "http://" + host(number) + ":" + ports[0],
                file,
                folder.resolve("daemon-" + number + ".log"));
    }

    private void awaitLive(DaemonProcess daemon) {
        Poll.until(
                "daemon " + daemon.vm() + " serves",
                () -> caller.get(daemon.httpAddress() + "/health/live").statusCode() == 200);
    }

    private static Path dataFolder(Path folder, String vm) {
        return folder.resolve("data-" + vm);
    }

    private static String host(int number) {
        return "127.0.0." + (10 + number);
    }
}
