package org.marjoramnotch.daemon.endpoint;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Reads complete answers of endpoints. An answer that cannot be verified to be complete is a
 * failure.
 */
public final class AnswerReader {
    /** Header with which an endpoint reports that it has not run a request. */
    public static final String OUTCOME_HEADER = "Marjoramnotch-Outcome";

    private static final String NOT_RUN = "not_run";
    private static final int UNAVAILABLE = 503;

    private final long maximumBodyBytes;
    private final long readTimeoutMilliseconds;

    /** Creates a reader that limits the size and the read time of each answer. */
    public AnswerReader(long maximumBodyBytes, long readTimeoutMilliseconds) {
        this.maximumBodyBytes = maximumBodyBytes;
        this.readTimeoutMilliseconds = readTimeoutMilliseconds;
    }

    /**
     * Reads the complete answer. Fails if the answer is truncated, is delimited only by the end of
     * the connection, or is too long.
     */
    public CompletionStage<CompleteAnswer> read(EndpointResponse response) {
        if (response.isCloseDelimited()) {
            response.body().discard();
            return CompletableFuture.failedFuture(
                    new IllegalStateException(
                            "The answer has neither a content length nor chunked encoding."));
        }
        return response.body()
                .read(readTimeoutMilliseconds, maximumBodyBytes)
                .thenApply(
                        body ->
                                new CompleteAnswer(
                                        response.status(), response.contentType(), body));
    }

    /** Returns whether the endpoint reports that it has not run and will not run the request. */
    public static boolean reportsNotRun(EndpointResponse response) {
        return response.status() == UNAVAILABLE
                && response.header(OUTCOME_HEADER).filter(NOT_RUN::equals).isPresent();
    }
}
