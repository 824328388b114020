package org.marjoramnotch.commandline.client;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.MarjoramnotchException;

class OperatorClientTest {
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);
    private static final OperatorRequest REQUEST = new OperatorRequest("GET", "/state");
    private static final URI NOBODY = URI.create("http://127.0.0.1:1");

    private final List<HttpServer> servers = new ArrayList<>();

    @AfterEach
    void stop() {
        servers.forEach(server -> server.stop(0));
    }

    @Test
    void silentDaemonTimesOutAndNextDaemonAnswers() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            URI address = URI.create("http://127.0.0.1:" + silent.getLocalPort());

            assertThat(client(address, answering(200, "{\"version\":4}")).call(REQUEST).toString())
                    .isEqualTo("{\"version\":4}");
            assertThat(outcome(client(address))).isEqualTo(ExecutionOutcome.UNKNOWN);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "false, KEY_REFUSED, NOT_RUN",
        "false, VERSION_CONFLICT, NOT_RUN",
        "false, NO_LEADER, NOT_RUN",
        "true, KEY_REFUSED, UNKNOWN",
        "true, GROUP_STATE, UNKNOWN",
        "true, NO_LEADER, UNKNOWN",
        "true, VERSION_CONFLICT, NOT_RUN",
        "true, REQUEST_ID_REUSED, NOT_RUN",
        "true, INVALID_RULES, NOT_RUN"
    })
    void refusalSaysNotRunOnlyIfItHoldsForAllAttempts(
            boolean earlierAnswerLost, ErrorCode code, ExecutionOutcome outcome)
            throws IOException {
        URI first = earlierAnswerLost ? answering(502, "<html>") : NOBODY;
        String refusal =
                "{\"code\":\"" + code + "\",\"outcome\":\"not_run\",\"message\":\"Do this.\"}";

        assertThat(outcome(client(first, answering(409, refusal)))).isEqualTo(outcome);
    }

    private static ExecutionOutcome outcome(OperatorClient client) {
        return catchThrowableOfType(MarjoramnotchException.class, () -> client.call(REQUEST))
                .refusal()
                .outcome();
    }

    private static OperatorClient client(URI... addresses) {
        return new OperatorClient(List.of(addresses), "key", ANSWER_TIMEOUT);
    }

    private URI answering(int status, String body) throws IOException {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        HttpServer server = HttpServer.create(address, 0);
        servers.add(server);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        server.createContext(
                "/",
                exchange -> {
                    exchange.sendResponseHeaders(status, bytes.length);
                    exchange.getResponseBody().write(bytes);
                    exchange.close();
                });
        server.start();
        return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
    }
}
