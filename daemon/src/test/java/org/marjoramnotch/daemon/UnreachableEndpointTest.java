package org.marjoramnotch.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramnotch.daemon.standin.StandInEndpoint;
import org.marjoramnotch.model.error.ExecutionOutcome;

class UnreachableEndpointTest {
    @TempDir Path folder;

    @Test
    void nonIdempotentRequestGoesToTheNextEndpointIfNothingWasSent() throws Exception {
        FakeLeader leader = new FakeLeader();
        try (DaemonFixture fixture = DaemonFixture.single(folder, leader);
                StandInEndpoint second = new StandInEndpoint("e-2", "gas-check")) {
            StandInEndpoint first = new StandInEndpoint("e-1", "gas-check");
            fixture.announce(first);
            first.close();
            HttpResponse<String> alone = fixture.post("/v1/queues/checks/requests/echo", "alone");
            fixture.announce(second);
            HttpResponse<String> answer = fixture.post("/v1/queues/checks/requests/echo", "check");

            assertThat(alone.headers().firstValue("Marjoramnotch-Outcome")).contains("not_run");
            assertThat(answer.body()).isEqualTo("check");
            assertThat(second.executions("check")).isEqualTo(1);
            DaemonFixture.await(() -> leader.ends.size() == 3);
            assertThat(leader.ends)
                    .extracting("outcome")
                    .containsExactly(
                            ExecutionOutcome.NOT_RUN,
                            ExecutionOutcome.NOT_RUN,
                            ExecutionOutcome.RAN);
        }
    }
}
