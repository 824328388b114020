package org.marjoramnotch.commandline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.marjoramnotch.logic.configuration.ConfigurationDifference;
import org.marjoramnotch.logic.configuration.ConfigurationState;
import org.marjoramnotch.logic.configuration.RuleParser;
import org.marjoramnotch.model.command.ChangeConfiguration;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.CommandResult.ConfigurationAccepted;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.RequestId;

/**
 * Serves the operator interface of a cell on the loopback address, and applies changes of the
 * rules.
 */
final class FakeCell implements AutoCloseable {
    static final String OPERATOR_KEY = "operator-key";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpServer server;
    private final ConfigurationState state = new ConfigurationState();
    private Fault fault = Fault.NONE;
    private int faultsLeft;

    /** Faults that can be injected into changes of the rules. */
    enum Fault {
        NONE,
        CHANGED_BY_ANOTHER_OPERATOR,
        ANSWER_LOST,
        ANSWER_CUT_SHORT,
        ANSWER_OF_BALANCER,
        NO_LEADER
    }

    FakeCell() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "http://127.0.0.1:" + server.getAddress().getPort();
    }

    ConfigurationState state() {
        return state;
    }

    void inject(Fault next, int times) {
        fault = next;
        faultsLeft = times;
    }

    void apply(String text) {
        long version = state.version();
        ConfigurationDifference difference =
                ConfigurationDifference.between(state, RuleParser.parse(text));
        state.apply(
                new ChangeConfiguration(
                        new RequestId("other-" + version),
                        version,
                        difference.removed(),
                        difference.put()));
    }

    private void handle(HttpExchange exchange) throws IOException {
        String request = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        byte[] body = exchange.getRequestBody().readAllBytes();
        String authorization = exchange.getRequestHeaders().getFirst("Authorization");
        if (!("Bearer " + OPERATOR_KEY).equals(authorization)) {
            answer(exchange, 401, refusal("KEY_REFUSED", "Use the operator key."));
        } else if (request.equals("GET /v1/operator/rules")) {
            answer(
                    exchange,
                    200,
                    Json.object().put("version", state.version()).put("text", state.text()));
        } else if (request.equals("PUT /v1/operator/rules")) {
            changeRules(exchange, MAPPER.readTree(body));
        } else if (request.equals("GET /v1/operator/status")) {
            ObjectNode status = Json.object().put("leader", "vm-1").put("term", 3);
            status.putArray("voters").add("vm-1").add("vm-2");
            status.putArray("voterIdentities").add("vm-1#a").add("vm-2#b");
            status.putArray("learners");
            answer(exchange, 200, status);
        } else if (request.equals("DELETE /v1/operator/endpoints/alive")) {
            answer(exchange, 409, refusal("ENDPOINT_ALIVE", "Stop its VM."));
        } else if (request.equals("PUT /v1/operator/evacuations/zone-x")) {
            answer(exchange, 400, refusal("INVALID_REQUEST", "Name one of [zone-a]."));
        } else {
            answer(exchange, 200, Json.object());
        }
    }

    private void changeRules(HttpExchange exchange, JsonNode body) throws IOException {
        Fault current = faultsLeft-- > 0 ? fault : Fault.NONE;
        if (current == Fault.NO_LEADER) {
            answer(exchange, 503, refusal("NO_LEADER", "Retry later."));
            return;
        }
        if (current == Fault.CHANGED_BY_ANOTHER_OPERATOR) {
            apply(state.text());
        }
        CommandResult result = apply(body);
        switch (current) {
            case ANSWER_LOST -> exchange.close();
            case ANSWER_CUT_SHORT -> {
                exchange.sendResponseHeaders(200, 100);
                exchange.getResponseBody().write('{');
                exchange.close();
            }
            case ANSWER_OF_BALANCER -> write(exchange, 502, "<html>Bad Gateway</html>");
            default -> answerResult(exchange, result);
        }
    }

    private CommandResult apply(JsonNode body) {
        try {
            return state.apply(command(body));
        } catch (MarjoramnotchException e) {
            return new CommandResult.Rejected(e.refusal());
        }
    }

    private ChangeConfiguration command(JsonNode body) {
        ConfigurationDifference difference =
                ConfigurationDifference.between(state, RuleParser.parse(body.get("text").asText()));
        return new ChangeConfiguration(
                new RequestId(body.get("requestId").asText()),
                body.get("expectedVersion").asLong(),
                difference.removed(),
                difference.put(),
                body.get("text").asText());
    }

    private static void answerResult(HttpExchange exchange, CommandResult result)
            throws IOException {
        if (result instanceof ConfigurationAccepted accepted) {
            answer(exchange, 200, Json.object().put("version", accepted.version()));
        } else {
            var refusal = ((CommandResult.Rejected) result).refusal();
            answer(exchange, 409, refusal(refusal.code().name(), refusal.message()));
        }
    }

    private static ObjectNode refusal(String code, String message) {
        return Json.object().put("code", code).put("outcome", "not_run").put("message", message);
    }

    private static void answer(HttpExchange exchange, int status, JsonNode body)
            throws IOException {
        write(exchange, status, body.toString());
    }

    private static void write(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
