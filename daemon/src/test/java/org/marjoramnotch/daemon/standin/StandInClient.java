package org.marjoramnotch.daemon.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.stream.StreamSupport;

/** Calls daemons on behalf of a stand-in; switches to the next address after a failure. */
public final class StandInClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient client = HttpClient.newHttpClient();
    private final ObjectMapper mapper = new ObjectMapper();
    private final List<String> addresses;
    private int next;

    /** Creates a client for the addresses in the arguments, IP:PORT each, from an index on. */
    public StandInClient(String[] arguments, int from) {
        addresses = Arrays.asList(arguments).subList(from, arguments.length);
    }

    /** Sends a JSON body with PUT. */
    public Answer put(String path, String body) {
        return send("PUT", path, body, TIMEOUT);
    }

    /** Sends a JSON body with POST; the timeout is extended by the given wait. */
    public Answer post(String path, String body, Duration wait) {
        return send("POST", path, body, TIMEOUT.plus(wait));
    }

    private Answer send(String method, String path, String body, Duration timeout) {
        String address = addresses.get(next % addresses.size());
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(timeout)
                        .header("Content-Type", "application/json")
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            HttpResponse<String> response =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() >= 500) {
                next++;
            }
            return new Answer(response.statusCode(), mapper.readTree(response.body()));
        } catch (IOException failure) {
            next++;
            return new Answer(0, mapper.createObjectNode());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return new Answer(0, mapper.createObjectNode());
        }
    }

    /**
     * An answer.
     *
     * @param status the HTTP status; 0 if there was no answer
     * @param body the JSON body
     */
    public record Answer(int status, JsonNode body) {
        /** Returns the texts of an array property; an empty list if it is absent. */
        public List<String> texts(String property) {
            return StreamSupport.stream(body.path(property).spliterator(), false)
                    .map(JsonNode::asText)
                    .toList();
        }
    }
}
