package org.marjoramnotch.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.daemon.standin.StandInEndpoint;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ExecutionOutcome;

/** Tests the behavior of feeds that their listeners rely on. */
class FeedContractTest {
    private static final String FEED = "/v1/queues/notices/feed/";

    @TempDir static Path folder;
    private static FakeLeader leader;
    private static DaemonFixture fixture;
    private static StandInEndpoint endpoint;

    @BeforeAll
    static void start() throws Exception {
        leader = new FakeLeader();
        fixture = DaemonFixture.single(folder, leader);
        endpoint = new StandInEndpoint("e-1", "notices");
        fixture.announce(endpoint);
    }

    @AfterAll
    static void stop() throws Exception {
        fixture.close();
        endpoint.close();
    }

    @BeforeEach
    void reset() {
        leader.ends.clear();
        leader.placed.clear();
    }

    @Test
    void feedIsForwardedWhileItRuns() throws Exception {
        try (InputStream lines = open("endless")) {
            assertThat(lines.readNBytes(14)).asString().isEqualTo("line 0\nline 1\n");
            assertThat(leader.placed.get(0).kind()).isEqualTo(SlotKind.FEED);
            assertThat(leader.ends).isEmpty();
        }
        awaitEnd(ExecutionOutcome.RAN);
    }

    @Test
    void revokedFeedIsClosed() throws Exception {
        try (InputStream lines = open("endless")) {
            lines.readNBytes(7);
            leader.revoked.add(leader.placed.get(0).attempt());

            assertThatThrownBy(lines::readAllBytes).isInstanceOf(IOException.class);
        }
        awaitEnd(ExecutionOutcome.RAN);
    }

    @ParameterizedTest
    @CsvSource({
        "not-run, 503, not_run, NOT_RUN",
        "silent,  504, unknown, RAN",
        "malformed, 502, unknown, UNKNOWN",
    })
    void feedThatDoesNotBeginIsRefused(
            String behavior, int status, String outcome, ExecutionOutcome end) {
        HttpResponse<String> answer =
                fixture.send(
                        fixture.request(FEED + behavior)
                                .header("Marjoramnotch-Deadline-Milliseconds", "700"));

        assertThat(answer.statusCode()).isEqualTo(status);
        assertThat(answer.headers().firstValue("Marjoramnotch-Outcome")).contains(outcome);
        awaitEnd(end);
    }

    @Test
    void interruptedFeedIsAnErrorForItsListener() {
        // The connection reset that ends the feed may overtake its first bytes; then opening the
        // feed already fails.
        assertThatThrownBy(() -> open("cut-chunked").readAllBytes())
                .isInstanceOf(IOException.class);
        awaitEnd(ExecutionOutcome.UNKNOWN);
    }

    private static InputStream open(String behavior) throws Exception {
        HttpResponse<InputStream> answer =
                HttpClient.newHttpClient()
                        .send(
                                fixture.request(FEED + behavior).build(),
                                HttpResponse.BodyHandlers.ofInputStream());
        assertThat(answer.statusCode()).isEqualTo(200);
        return answer.body();
    }

    private static void awaitEnd(ExecutionOutcome outcome) {
        DaemonFixture.await(() -> leader.ends.stream().anyMatch(e -> e.outcome() == outcome));
    }
}
