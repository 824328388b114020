package org.marjoramnotch.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramnotch.daemon.standin.StandInEndpoint;
import org.marjoramnotch.model.error.ExecutionOutcome;

class DaemonShutdownTest {
    @TempDir Path folder;

    @Test
    void requestInFlightEndsAndItsEndIsReportedBeforeTheProcessStops() throws Exception {
        FakeLeader leader = new FakeLeader();
        try (StandInEndpoint endpoint = new StandInEndpoint("e-1", "gas-check")) {
            DaemonFixture fixture = DaemonFixture.single(folder, leader);
            fixture.announce(endpoint);
            CompletableFuture<HttpResponse<String>> slow =
                    CompletableFuture.supplyAsync(
                            () -> fixture.post("/v1/queues/checks/requests/slow", "in flight"));
            DaemonFixture.await(() -> endpoint.executions("in flight") == 1);
            CompletableFuture<Void> stop = CompletableFuture.runAsync(fixture::close);
            List<Integer> readiness = new CopyOnWriteArrayList<>();
            DaemonFixture.await(
                    () -> {
                        readiness.add(fixture.get("/health/ready").statusCode());
                        return readiness.contains(503);
                    });

            assertThat(slow.get().body()).isEqualTo("in flight");
            stop.get();
            assertThat(leader.ends).extracting("outcome").containsExactly(ExecutionOutcome.RAN);
        }
    }
}
