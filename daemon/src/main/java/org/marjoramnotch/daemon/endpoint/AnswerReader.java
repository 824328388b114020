package org.marjoramnotch.daemon.endpoint;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Reads answers of endpoints whole; one that cannot be proved whole is a failure. */
public final class AnswerReader {
    /** Header by which an endpoint says that it has not run a request. */
    public static final String OUTCOME_HEADER = "Marjoramnotch-Outcome";

    private static final String NOT_RUN = "not_run";
    private static final int UNAVAILABLE = 503;

    private final ActorSystem system;
    private final long maximumBodyBytes;
    private final long readTimeoutMilliseconds;

    /** Creates a reader with a limit of size and time for each answer. */
    public AnswerReader(ActorSystem system, long longestBodyBytes, long longestReadMilliseconds) {
        this.system = system;
        this.maximumBodyBytes = longestBodyBytes;
        this.readTimeoutMilliseconds = longestReadMilliseconds;
    }

    /** Reads the whole answer; fails if it is cut short, has no framing or is too long. */
    public CompletionStage<CompleteAnswer> read(HttpResponse response) {
        if (response.entity().isCloseDelimited()) {
            response.discardEntityBytes(system);
            return CompletableFuture.failedFuture(
                    new IllegalStateException("The answer has neither length nor chunks."));
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

    /** Tells whether the endpoint says that it has not run and will not run the request. */
    public static boolean reportsNotRun(HttpResponse response) {
        Optional<HttpHeader> outcome = response.getHeader(OUTCOME_HEADER);
        return response.status().intValue() == UNAVAILABLE
                && outcome.filter(header -> header.value().equals(NOT_RUN)).isPresent();
    }
}
