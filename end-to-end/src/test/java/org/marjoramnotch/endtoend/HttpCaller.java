package org.marjoramnotch.endtoend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Executor;

/** Sends HTTP requests as callers and operators do. */
final class HttpCaller {
    /**
     * Starts a thread for each call, so that calls that wait for each other cannot block each
     * other.
     */
    static final Executor THREADS = call -> new Thread(call, "caller").start();

    private static final Duration TIMEOUT = Duration.ofSeconds(40);

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(5))
                    .build();

    HttpResponse<String> get(String uri) {
        return send(HttpRequest.newBuilder(URI.create(uri)).GET());
    }

    HttpResponse<String> operator(String method, String uri, String body) {
        return send(method, uri, Cell.OPERATOR_KEY, body);
    }

    HttpResponse<String> send(String method, String uri, String key, String body) {
        return send(
                HttpRequest.newBuilder(URI.create(uri))
                        .header("Authorization", "Bearer " + key)
                        .header("Content-Type", "application/json")
                        .method(method, HttpRequest.BodyPublishers.ofString(body)));
    }

    HttpResponse<String> send(HttpRequest.Builder request) {
        try {
            return client.send(
                    request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
