package org.marjoramnotch.daemon.http;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** Reads complete request bodies up to a maximum length. */
public final class BodyReader {
    private final ActorSystem system;
    private final long maximumBodyBytes;

    /** Creates a reader with the given maximum body length. */
    public BodyReader(ActorSystem system, long maximumBodyBytes) {
        this.system = system;
        this.maximumBodyBytes = maximumBodyBytes;
    }

    /** Returns the actor system used to read bodies. */
    ActorSystem system() {
        return system;
    }

    /** Returns the maximum length of a body; longer bodies are refused. */
    long maximumBodyBytes() {
        return maximumBodyBytes;
    }

    /**
     * Reads the body. Fails with {@code INVALID_REQUEST} if the body is too long, truncated or not
     * received within the timeout.
     */
    CompletionStage<HttpEntity.Strict> read(HttpCall call, long timeoutMilliseconds) {
        return read(call.request(), timeoutMilliseconds);
    }

    /**
     * Reads the body. Fails with {@code INVALID_REQUEST} if the body is too long, truncated or not
     * received within the timeout.
     */
    public CompletionStage<HttpEntity.Strict> read(HttpRequest request, long timeoutMilliseconds) {
        return request.entity()
                .toStrict(timeoutMilliseconds, maximumBodyBytes, system)
                .exceptionally(
                        failure -> {
                            throw new CompletionException(
                                    RefusalAnswers.invalidRequest(
                                            "The body was truncated, timed out or exceeded "
                                                    + maximumBodyBytes
                                                    + " bytes; send a complete, shorter body."));
                        });
    }
}
