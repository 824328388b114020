package org.marjoramnotch.daemon.endpoint;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Reads complete answers of endpoints. An answer that cannot be verified to be complete is a
 * failure.
 */
public final class AnswerReader {
    /** Header with which an endpoint reports that it has not run a request. */
    public static final String OUTCOME_HEADER = "Marjoramnotch-Outcome";

    private static final String NOT_RUN = "not_run";
    private static final int UNAVAILABLE = 503;

    private final ActorSystem system;
    private final long maximumBodyBytes;
    private final long readTimeoutMilliseconds;

    /** Creates a reader that limits the size and the read time of each answer. */
    public AnswerReader(ActorSystem system, long maximumBodyBytes, long readTimeoutMilliseconds) {
        this.system = system;
        this.maximumBodyBytes = maximumBodyBytes;
        this.readTimeoutMilliseconds = readTimeoutMilliseconds;
    }

    /**
     * Reads the complete answer. Fails if the answer is truncated, is delimited only by the end of
     * the connection, or is too long.
     */
    public CompletionStage<CompleteAnswer> read(HttpResponse response) {
        if (response.entity().isCloseDelimited()) {
            response.discardEntityBytes(system);
            return CompletableFuture.failedFuture(
                    new IllegalStateException(
                            "The answer has neither a content length nor chunked encoding."));
        }
        return response.entity()
                .toStrict(readTimeoutMilliseconds, maximumBodyBytes, system)
                .thenApply(
                        body ->
                                new CompleteAnswer(
                                        response.status().intValue(),
                                        body.getContentType(),
                                        body.getData()));
    }

    /** Returns whether the endpoint reports that it has not run and will not run the request. */
    public static boolean reportsNotRun(HttpResponse response) {
        Optional<HttpHeader> outcome = response.getHeader(OUTCOME_HEADER);
        return response.status().intValue() == UNAVAILABLE
                && outcome.filter(header -> header.value().equals(NOT_RUN)).isPresent();
    }
}
