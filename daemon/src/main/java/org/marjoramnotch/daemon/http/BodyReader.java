package org.marjoramnotch.daemon.http;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

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

    /** Reads the body; see {@link #read(HttpRequest, long)}. */
    CompletionStage<byte[]> read(HttpCall call, long timeoutMilliseconds) {
        return read(call.request(), timeoutMilliseconds);
    }

    /**
     * Reads the body. Fails with {@code REQUEST_TIMEOUT} if the body is not received within the
     * timeout, and with {@code INVALID_REQUEST} if it is too long or truncated.
     */
    public CompletionStage<byte[]> read(HttpRequest request, long timeoutMilliseconds) {
        return request.body()
                .read(timeoutMilliseconds, maximumBodyBytes)
                .exceptionally(
                        failure -> {
                            throw new CompletionException(refusalOf(failure));
                        });
    }

    private MarjoramnotchException refusalOf(Throwable failure) {
        return failure instanceof TimeoutException
                ? new MarjoramnotchException(
                        ErrorCode.REQUEST_TIMEOUT,
                        "The body did not arrive in time; send the request again.")
                : RefusalAnswers.invalidRequest(
                        "The body was truncated or exceeded "
                                + maximumBodyBytes
                                + " bytes; send a complete, shorter body.");
    }
}
