package org.marjoramnotch.daemon;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apache.commons.codec.digest.DigestUtils;
import org.marjoramnotch.daemon.settings.DaemonLimits;
import org.marjoramnotch.daemon.settings.DaemonRole;
import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.daemon.settings.ReplicaAddress;
import org.marjoramnotch.daemon.standin.StandInCalls;
import org.marjoramnotch.daemon.standin.StandInEndpoint;
import org.marjoramnotch.logic.cell.CellParts;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.VmId;

/** One daemon in this process that is the only replica of its cell. */
final class DaemonFixture implements AutoCloseable {
    static final String OPERATOR_KEY = "operator-secret";
    static final int LONGEST_BODY_BYTES = 64 * 1024;
    private static final Duration PATIENCE = Duration.ofSeconds(20);

    final Daemon daemon;
    final String address;
    private final HttpClient client = HttpClient.newHttpClient();

    DaemonFixture(Path folder, CellParts parts) throws Exception {
        Path keyFile = folder.resolve("operator-key.sha256");
        Files.writeString(keyFile, DigestUtils.sha256Hex(OPERATOR_KEY));
        VmId vm = new VmId("vm-1");
        daemon =
                Daemon.start(
                        DaemonSettings.builder()
                                .vm(vm)
                                .availabilityZone(new AvailabilityZone("zone-1"))
                                .roles(Set.of(DaemonRole.ENTRY, DaemonRole.REPLICA))
                                .httpHost("127.0.0.1")
                                .linkHost("127.0.0.1")
                                .replicas(List.of(new ReplicaAddress(vm, "127.0.0.1", 1)))
                                .dataFolder(folder.resolve("data"))
                                .operatorKeySha256File(keyFile)
                                .limits(
                                        DaemonLimits.builder()
                                                .maximumBodyBytes(LONGEST_BODY_BYTES)
                                                .maximumOpenRequests(200)
                                                .electionTimeoutMinimumMilliseconds(300)
                                                .electionTimeoutMaximumMilliseconds(600)
                                                .heartbeatIntervalMilliseconds(50)
                                                .build())
                                .build(),
                        parts);
        address = "127.0.0.1:" + daemon.addresses().http().getPort();
        operator("POST", "/v1/operator/form", "");
        await(() -> get("/health/ready").statusCode() == 200);
    }

    void announce(StandInEndpoint endpoint) {
        StandInCalls calls = new StandInCalls(new String[] {address}, 0);
        await(() -> endpoint.announce(calls, "active") == 200);
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(PATIENCE);
    }

    HttpResponse<String> post(String path, String body, String... headers) {
        HttpRequest.Builder request = request(path).POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return send(request);
    }

    HttpResponse<String> get(String path) {
        return send(request(path).GET());
    }

    HttpResponse<String> operator(String method, String path, String body) {
        return send(
                request(path)
                        .header("Authorization", "Bearer " + OPERATOR_KEY)
                        .method(method, HttpRequest.BodyPublishers.ofString(body)));
    }

    HttpResponse<String> send(HttpRequest.Builder request) {
        try {
            return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException | InterruptedException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Asks again until the condition holds; fails when the patience is over. */
    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + PATIENCE.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("The condition did not come to hold.");
            }
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        daemon.stop();
    }
}
