package org.marjoramnotch.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.daemon.standin.StandInEndpoint;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.rule.Repetition;

/** Tests the request interface that callers and endpoints rely on, over sockets on loopback. */
class QuickRequestContractTest {
    private static final String QUEUE = "/v1/queues/checks/requests/";

    @TempDir static Path folder;
    private static FakeLeader leader;
    private static DaemonFixture fixture;
    private static StandInEndpoint endpoint;

    @BeforeAll
    static void start() throws Exception {
        leader = new FakeLeader();
        fixture = DaemonFixture.single(folder, leader);
        endpoint = new StandInEndpoint("e-1", "gas-check");
        fixture.announce(endpoint);
    }

    @AfterAll
    static void stop() throws Exception {
        fixture.close();
        endpoint.close();
    }

    @BeforeEach
    void reset() {
        leader.repetition = Repetition.ONCE;
        leader.ends.clear();
        leader.placed.clear();
    }

    @ParameterizedTest
    @CsvSource({
        "echo,         200, ran,     1, RAN",
        "chunked,      200, ran,     1, RAN",
        "slow,         200, ran,     1, RAN",
        "error,        500, ran,     1, RAN",
        "twice,        200, ran,     1, RAN",
        "cut-short,    502, unknown, 1, UNKNOWN",
        "cut-chunked,  502, unknown, 1, UNKNOWN",
        "no-framing,   502, unknown, 1, UNKNOWN",
        "oversized,    502, unknown, 1, UNKNOWN",
        "malformed,    502, unknown, 1, UNKNOWN",
        "reset,        502, unknown, 1, UNKNOWN",
        "silent,       504, unknown, 1, none",
        "not-run,      503, not_run, 0, NOT_RUN",
    })
    void nonIdempotentRequestGetsItsActualOutcome(
            String behavior, int status, String outcome, int executions, String reported) {
        String body = "check " + behavior;

        HttpResponse<String> answer =
                fixture.post(
                        QUEUE + behavior,
                        body,
                        "Marjoramnotch-Deadline-Milliseconds",
                        behavior.equals("silent") ? "500" : "10000",
                        "Content-Type",
                        "text/plain");

        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(status);
        assertThat(answer.headers().allValues("Marjoramnotch-Outcome")).containsExactly(outcome);
        assertThat(endpoint.executions(body)).isEqualTo(executions);
        if (outcome.equals("ran")) {
            assertThat(answer.body()).isEqualTo(body);
        }
        if (!reported.equals("none")) {
            ExecutionOutcome end = ExecutionOutcome.valueOf(reported);
            DaemonFixture.await(() -> leader.ends.stream().anyMatch(e -> e.outcome() == end));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"cut-short", "cut-chunked", "malformed", "reset"})
    void idempotentRequestGoesToAnotherEndpoint(String behavior) throws Exception {
        leader.repetition = Repetition.IDEMPOTENT;
        String body = "permit " + behavior;

        HttpResponse<String> answer = fixture.post(QUEUE + behavior, body);

        assertThat(leader.placed).hasSize(2);
        assertThat(leader.placed.get(1).excluded()).hasSize(1);
        assertThat(answer.headers().firstValue("Marjoramnotch-Outcome")).contains("unknown");
    }

    @Test
    void eachCallerGetsItsOwnAnswerAfterUnexpectedOnes() {
        for (int number = 0; number < 20; number++) {
            String behavior = number % 2 == 0 ? "twice" : "echo";
            String body = "own " + number;
            assertThat(fixture.post(QUEUE + behavior, body).body()).isEqualTo(body);
            assertThat(endpoint.executions(body)).isEqualTo(1);
        }
    }

    @Test
    void chunkedBodyOfCallerReachesEndpointCompletely() {
        String text = "x".repeat(20_000);

        HttpResponse<String> answer =
                fixture.send(
                        fixture.request(QUEUE + "echo?a=b%20c")
                                .POST(
                                        HttpRequest.BodyPublishers.ofByteArrays(
                                                List.of(
                                                        text.getBytes(StandardCharsets.UTF_8),
                                                        text.getBytes(StandardCharsets.UTF_8)))));

        assertThat(answer.body()).isEqualTo(text + text);
        assertThat(endpoint.lastTeam()).isEqualTo("team-a");
    }

    @ParameterizedTest
    @CsvSource({
        "Marjoramnotch-Deadline-Milliseconds, 0,           400, INVALID_REQUEST",
        "Marjoramnotch-Deadline-Milliseconds, 600001,      400, INVALID_REQUEST",
        "Marjoramnotch-Deadline-Milliseconds, soon,        400, INVALID_REQUEST",
        "Authorization,                       Bearer nodot, 401, KEY_REFUSED",
        "Authorization,                       Bearer .x,   401, KEY_REFUSED",
    })
    void unreadableHeadersAreRefusedAsNotRun(String header, String value, int status, String code) {
        HttpResponse<String> answer = fixture.post(QUEUE + "echo", "bad header", header, value);

        assertThat(answer.statusCode()).isEqualTo(status);
        assertThat(answer.body()).contains(code).contains("\"outcome\":\"not_run\"");
        assertThat(endpoint.executions("bad header")).isZero();
    }

    @Test
    void bodyAboveTheMaximumIsRefusedAsNotRun() {
        String body = "y".repeat(DaemonFixture.MAXIMUM_BODY_BYTES + 1);

        HttpResponse<String> answer = fixture.post(QUEUE + "echo", body);

        assertThat(answer.statusCode()).isEqualTo(400);
        assertThat(answer.headers().firstValue("Marjoramnotch-Outcome")).contains("not_run");
        assertThat(endpoint.executions(body)).isZero();
    }

    @Test
    void feedIsStreamedToItsEnd() {
        HttpResponse<String> answer = fixture.get("/v1/queues/checks/feed/feed");

        assertThat(answer.body()).isEqualTo("line 0\nline 1\nline 2\n");
        DaemonFixture.await(
                () -> leader.ends.stream().anyMatch(e -> e.outcome() == ExecutionOutcome.RAN));
    }

    @Test
    void operatorWithoutKeyIsRefused() {
        assertThat(fixture.get("/v1/operator/status").statusCode()).isEqualTo(401);
        assertThat(fixture.operator("GET", "/v1/operator/status", "").body())
                .contains("\"leader\":\"vm-1\"");
        assertThat(fixture.operator("POST", "/v1/operator/form", "").statusCode()).isEqualTo(409);
    }

    @Test
    void metricsContainTimesOfEachTeamAndClass() {
        fixture.post(QUEUE + "echo", "measured", "Marjoramnotch-Urgent", "true");

        assertThat(fixture.get("/metrics").body())
                .contains("marjoramnotch_waiting_seconds_count{class=\"urgent\",team=\"team-a\"}")
                .contains("marjoramnotch_total_seconds_count{class=\"urgent\",team=\"team-a\"}");
    }
}
