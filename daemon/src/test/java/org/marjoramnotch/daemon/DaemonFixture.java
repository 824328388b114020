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
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.apache.commons.codec.digest.DigestUtils;
import org.marjoramnotch.daemon.settings.DaemonLimits;
import org.marjoramnotch.daemon.settings.DaemonRole;
import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.daemon.settings.ReplicaAddress;
import org.marjoramnotch.daemon.standin.StandInClient;
import org.marjoramnotch.daemon.standin.StandInEndpoint;
import org.marjoramnotch.logic.cell.LeaderDutyFactory;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.VmId;

/** Runs a daemon within the test process. */
final class DaemonFixture implements AutoCloseable {
    static final String OPERATOR_KEY = "operator-secret";
    static final int MAXIMUM_BODY_BYTES = 64 * 1024;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    final Daemon daemon;
    final String vm;
    final String address;
    private static final long POLL_NANOSECONDS = 5_000_000;

    private final HttpClient client = HttpClient.newHttpClient();

    /** Starts a daemon with the only replica of its cell, forms the group and waits until ready. */
    static DaemonFixture single(Path folder, LeaderDutyFactory parts) throws Exception {
        ReplicaAddress self = new ReplicaAddress(new VmId("vm-1"), "127.0.0.1", 0);
        DaemonFixture fixture = new DaemonFixture(folder, "vm-1", List.of(self), parts);
        fixture.form();
        fixture.awaitReady();
        return fixture;
    }

    /** Starts a daemon of a cell; it has a replica if its VM is among the given ones. */
    DaemonFixture(Path folder, String vm, List<ReplicaAddress> replicas, LeaderDutyFactory parts)
            throws Exception {
        this.vm = vm;
        Path keyFile = folder.resolve("operator-key.sha256");
        Files.writeString(keyFile, DigestUtils.sha256Hex(OPERATOR_KEY));
        Optional<ReplicaAddress> self =
                replicas.stream().filter(replica -> replica.vm().value().equals(vm)).findFirst();
        daemon =
                Daemon.start(
                        DaemonSettings.builder()
                                .vm(new VmId(vm))
                                .availabilityZone(new AvailabilityZone("zone-1"))
                                .roles(
                                        self.isPresent()
                                                ? Set.of(DaemonRole.ENTRY, DaemonRole.REPLICA)
                                                : Set.of(DaemonRole.ENTRY))
                                .httpHost("127.0.0.1")
                                .linkHost("127.0.0.1")
                                .linkPort(self.map(ReplicaAddress::port).orElse(0))
                                .replicas(replicas)
                                .dataFolder(folder.resolve("data-" + vm))
                                .operatorKeySha256File(keyFile)
                                .limits(limits())
                                .build(),
                        parts);
        address = "127.0.0.1:" + daemon.addresses().http().getPort();
    }

    private static DaemonLimits limits() {
        return DaemonLimits.builder()
                .maximumBodyBytes(MAXIMUM_BODY_BYTES)
                .maximumOpenRequests(200)
                .electionTimeoutMinimumMilliseconds(300)
                .electionTimeoutMaximumMilliseconds(600)
                .heartbeatIntervalMilliseconds(50)
                .build();
    }

    void form() {
        operator("POST", "/v1/operator/form", "");
    }

    void awaitReady() {
        await(() -> get("/health/ready").statusCode() == 200);
    }

    void announce(StandInEndpoint endpoint) {
        StandInClient calls = new StandInClient(new String[] {address}, 0);
        await(() -> endpoint.announce(calls, "active") == 200);
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
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

    /** Polls until the condition holds; fails after the timeout. */
    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("The condition did not hold within the timeout.");
            }
            LockSupport.parkNanos(POLL_NANOSECONDS);
        }
    }

    @Override
    public void close() {
        daemon.stop();
    }
}
