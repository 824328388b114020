package org.marjoramnotch.daemon.http;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

/** Reads complete request bodies up to a maximum length. */
public final class BodyReader {
    private final long maximumBodyBytes;

    /** Creates a reader with the given maximum body length. */
    public BodyReader(long maximumBodyBytes) {
        this.maximumBodyBytes = maximumBodyBytes;
    }

    /** Returns the maximum length of a body; longer bodies are refused. */
    long maximumBodyBytes() {
        return maximumBodyBytes;
    }

    /**
     * Reads the body. Fails with {@code INVALID_REQUEST} if the body is too long, truncated or not
     * received within the timeout.
     */
    CompletionStage<byte[]> read(HttpCall call, long timeoutMilliseconds) {
        return read(call.request(), timeoutMilliseconds);
    }

    /**
     * Reads the body. Fails with {@code INVALID_REQUEST} if the body is too long, truncated or not
     * received within the timeout.
     */
    public CompletionStage<byte[]> read(HttpRequest request, long timeoutMilliseconds) {
        return request.body()
                .read(timeoutMilliseconds, maximumBodyBytes)
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
