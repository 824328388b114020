package org.marjoramnotch.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.daemon.standin.StandInEndpoint;

class OperatorContractTest {
    private static final String GAS_1 = "/v1/operator/endpoints/gas-1";

    @TempDir Path folder;
    private DaemonFixture daemon;

    @BeforeEach
    void start() throws Exception {
        daemon = DaemonFixture.single(folder, Daemon.standardParts());
    }

    @AfterEach
    void stop() {
        daemon.close();
    }

    @Test
    void endpointCanBeRemovedOnceItsLeaseHasExpired() throws Exception {
        try (StandInEndpoint endpoint = new StandInEndpoint("gas-1", "gas-check")) {
            daemon.announce(endpoint);
            HttpResponse<String> alive = daemon.operator("DELETE", GAS_1, "");
            assertThat(alive.statusCode()).isEqualTo(409);
            assertThat(alive.body()).contains("ENDPOINT_ALIVE", "not_run");
        }
        assertThat(daemon.send(daemon.request(GAS_1).DELETE()).statusCode()).isEqualTo(401);

        DaemonFixture.await(() -> daemon.operator("DELETE", GAS_1, "").statusCode() == 200);

        assertThat(status()).contains("\"endpoints\":0");
        assertThat(daemon.operator("DELETE", GAS_1, "").body()).isEqualTo("{}");
    }

    /** Guards against orders that are confirmed by a cell without workers that take orders. */
    @ParameterizedTest
    @ValueSource(strings = {"PUT", "DELETE"})
    void evacuationIsRefusedByCellWithoutWorkflows(String method) {
        HttpResponse<String> refused = daemon.operator(method, "/v1/operator/evacuations/a", "");
        assertThat(refused.statusCode()).isEqualTo(400);
        assertThat(refused.body()).contains("INVALID_REQUEST", "whose settings name workflow");
    }

    @Test
    void statusListsVotersAndTheirIdentities() {
        assertThat(status())
                .containsPattern("\"voters\":\\[\"vm-1\"],\"voterIdentities\":\\[\"vm-1#[^\"]+\"]");
    }

    @Test
    void metricsOfTheLeaderShowWaitingAndRunningTimesOfTeams() throws Exception {
        String rules =
                "team team-a share 1 limit 8 # test\\n"
                        + "queue checks open team-a policy quick service gas-check once # test\\n";
        daemon.operator(
                "PUT",
                "/v1/operator/rules",
                "{\"requestId\":\"r-1\",\"expectedVersion\":0,\"text\":\"" + rules + "\"}");
        try (StandInEndpoint endpoint = new StandInEndpoint("gas-1", "gas-check")) {
            daemon.announce(endpoint);
            assertThat(daemon.post("/v1/queues/checks/requests/echo", "body").body())
                    .isEqualTo("body");
        }
        DaemonFixture.await(
                () -> metrics().contains(ofLeader("running_seconds_count{class=\"quick\"")));

        assertThat(metrics())
                .contains(
                        ofLeader("waiting_seconds_count{class=\"quick\",team=\"team-a\"} 1"),
                        ofLeader("running_seconds_count{class=\"quick\",team=\"team-a\"} 1"),
                        "marjoramnotch_leading 1.0",
                        "marjoramnotch_term ",
                        "marjoramnotch_commit_index ");
        DaemonFixture.await(
                () -> metrics().contains("marjoramnotch_team_upper_limit{team=\"team-a\"} 8.0"));
    }

    private static String ofLeader(String rest) {
        return "marjoramnotch_leader_" + rest;
    }

    private String metrics() {
        return daemon.get("/metrics").body();
    }

    private String status() {
        return daemon.operator("GET", "/v1/operator/status", "").body();
    }
}
