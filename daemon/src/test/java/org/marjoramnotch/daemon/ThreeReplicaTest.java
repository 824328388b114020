package org.marjoramnotch.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.commons.codec.digest.DigestUtils;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramnotch.daemon.settings.ReplicaAddress;
import org.marjoramnotch.daemon.standin.StandInEndpoint;
import org.marjoramnotch.daemon.transport.PortReservation;
import org.marjoramnotch.model.identifier.VmId;

/** Runs three daemons with a replica and one without, all in the test process. */
class ThreeReplicaTest {
    private static final String RULES =
            """
            team team-a share 1 limit 8                                       # the test
            key key-a team team-a sha256 %s                                   # the test
            queue checks keyed policy quick service gas-check once            # the test
            """
                    .formatted(DigestUtils.sha256Hex("secret"));

    @TempDir Path folder;
    private final List<DaemonFixture> daemons = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        List<ReplicaAddress> replicas = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            replicas.add(
                    new ReplicaAddress(
                            new VmId("vm-" + number), "127.0.0.1", PortReservation.reserve()));
        }
        for (int number = 1; number <= 4; number++) {
            daemons.add(
                    new DaemonFixture(folder, "vm-" + number, replicas, Daemon.standardParts()));
        }
        daemons.get(0).form();
        daemons.forEach(DaemonFixture::awaitReady);
    }

    @AfterEach
    void stop() {
        daemons.forEach(DaemonFixture::close);
    }

    @Test
    void requestThroughAnyEntryRunsOnceEvenAfterTheLeaderStops() throws Exception {
        DaemonFixture entry = daemons.get(3);
        DaemonFixture.await(() -> voters(entry) == 3);
        assertThat(
                        entry.operator(
                                        "PUT",
                                        "/v1/operator/rules",
                                        "{\"requestId\":\"r-1\",\"expectedVersion\":0,\"text\":\""
                                                + RULES.replace("\n", "\\n")
                                                + "\"}")
                                .body())
                .contains("\"version\":1");
        try (StandInEndpoint endpoint = new StandInEndpoint("e-1", "gas-check")) {
            entry.announce(endpoint);
            for (DaemonFixture daemon : daemons) {
                assertRunsOnce(daemon, endpoint, "through " + daemon.address);
            }
            stopLeader(entry);
            entry.announce(endpoint);
            assertRunsOnce(entry, endpoint, "after");
        }
    }

    private void assertRunsOnce(DaemonFixture daemon, StandInEndpoint endpoint, String body) {
        HttpResponse<String> answer =
                daemon.post(
                        "/v1/queues/checks/requests/echo",
                        body,
                        "Authorization",
                        "Bearer key-a.secret");

        assertThat(answer.body()).isEqualTo(body);
        assertThat(endpoint.executions(body)).isEqualTo(1);
    }

    private void stopLeader(DaemonFixture entry) {
        String status = entry.operator("GET", "/v1/operator/status", "").body();
        DaemonFixture leader =
                daemons.stream()
                        .filter(daemon -> status.contains("\"leader\":\"" + daemon.vm + "\""))
                        .findFirst()
                        .orElseThrow();
        leader.close();
        daemons.remove(leader);
        DaemonFixture.await(
                () ->
                        !entry.operator("GET", "/v1/operator/status", "")
                                .body()
                                .contains("\"leader\":\"" + leader.vm + "\""));
    }

    private static int voters(DaemonFixture entry) {
        String body = entry.operator("GET", "/v1/operator/status", "").body();
        if (!body.contains("\"voters\":[")) {
            return 0;
        }
        String voters = body.substring(body.indexOf("\"voters\":["), body.indexOf("\"learners\""));
        Set<String> found = new HashSet<>();
        Stream.of("vm-1", "vm-2", "vm-3").filter(voters::contains).forEach(found::add);
        return found.size();
    }
}
