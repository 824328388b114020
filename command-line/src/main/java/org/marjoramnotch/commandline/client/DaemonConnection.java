package org.marjoramnotch.commandline.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Refusal;

/** Sends single requests to daemons, without retrying them. */
final class DaemonConnection {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final int FIRST_ERROR_STATUS = 300;

    private final HttpClient client;
    private final String operatorKey;
    private final Duration answerTimeout;

    DaemonConnection(String operatorKey, Duration connectTimeout, Duration answerTimeout) {
        this.client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(connectTimeout)
                        .build();
        this.operatorKey = operatorKey;
        this.answerTimeout = answerTimeout;
    }

    /** Sends the request to the daemon at the address and waits for its answer. */
    AttemptResult send(URI address, OperatorRequest request) {
        try {
            return read(
                    client.send(
                            httpRequest(address, request), HttpResponse.BodyHandlers.ofString()));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return new AttemptResult.NoAnswer("the connection failed", false);
        } catch (IOException e) {
            return new AttemptResult.NoAnswer("the answer was lost", true);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new AttemptResult.NoAnswer("the program was interrupted", true);
        }
    }

    private HttpRequest httpRequest(URI address, OperatorRequest request) {
        HttpRequest.BodyPublisher body =
                request.body()
                        .map(json -> HttpRequest.BodyPublishers.ofString(json.toString()))
                        .orElseGet(HttpRequest.BodyPublishers::noBody);
        return HttpRequest.newBuilder(address.resolve(request.path()))
                .method(request.method(), body)
                .header("Authorization", "Bearer " + operatorKey)
                .header("Content-Type", "application/json")
                .timeout(answerTimeout)
                .build();
    }

    private static AttemptResult read(HttpResponse<String> response) {
        JsonNode body = readJson(response.body());
        if (body.isMissingNode() || !body.isObject()) {
            return new AttemptResult.NoAnswer(
                    "the answer had status " + response.statusCode() + " and no JSON object", true);
        }
        if (response.statusCode() < FIRST_ERROR_STATUS) {
            return new AttemptResult.Answered(body);
        }
        return new AttemptResult.RefusedByDaemon(readRefusal(body));
    }

    private static JsonNode readJson(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return MAPPER.missingNode();
        }
    }

    private static Refusal readRefusal(JsonNode body) {
        return new Refusal(
                constant(ErrorCode.class, body.path("code").asText(), ErrorCode.INVALID_REQUEST),
                constant(
                        ExecutionOutcome.class,
                        body.path("outcome").asText().toUpperCase(Locale.ROOT),
                        ExecutionOutcome.UNKNOWN),
                body.path("message").asText());
    }

    private static <E extends Enum<E>> E constant(Class<E> type, String name, E fallback) {
        for (E constant : type.getEnumConstants()) {
            if (constant.name().equals(name)) {
                return constant;
            }
        }
        return fallback;
    }
}
