package org.marjoramnotch.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
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
    void endpointIsForgottenOnceItsLeaseHasRunOut() throws Exception {
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

    @Test
    void statusNamesVotersAndTheirIdentities() {
        assertThat(status())
                .containsPattern("\"voters\":\\[\"vm-1\"],\"voterIdentities\":\\[\"vm-1#[^\"]+\"]");
    }

    private String status() {
        return daemon.operator("GET", "/v1/operator/status", "").body();
    }
}
