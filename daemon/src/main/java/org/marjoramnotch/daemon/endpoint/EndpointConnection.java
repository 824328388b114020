package org.marjoramnotch.daemon.endpoint;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.javadsl.SinkQueueWithCancel;

/**
 * One HTTP connection to an endpoint, with at most one request at a time. A response that comes
 * while none is awaited belongs to no request: the connection then counts as closed.
 */
public final class EndpointConnection {
    private final BoundedSourceQueue<HttpRequest> requests;
    private final SinkQueueWithCancel<HttpResponse> responses;
    private CompletableFuture<Optional<HttpResponse>> next;
    private volatile boolean closed;

    EndpointConnection(
            BoundedSourceQueue<HttpRequest> requests, SinkQueueWithCancel<HttpResponse> responses) {
        this.requests = requests;
        this.responses = responses;
        this.next = responses.pull().toCompletableFuture();
    }

    /** Tells whether a request may be handed to it. */
    public boolean isOpen() {
        return !closed && !next.isDone();
    }

    /**
     * Hands a request to the connection; from here on it may have been sent.
     *
     * @return the response, or a failure if the connection ended before it
     */
    public CompletionStage<HttpResponse> exchange(HttpRequest request) {
        CompletableFuture<Optional<HttpResponse>> awaited = next;
        if (!QueueOfferResult.enqueued().equals(requests.offer(request))) {
            close();
            return CompletableFuture.failedFuture(ended());
        }
        return awaited.thenApply(response -> response.orElseThrow(EndpointConnection::ended));
    }

    /** Makes the connection ready for the next request, after a whole answer. */
    public void prepareNext() {
        next = responses.pull().toCompletableFuture();
    }

    /** Closes the connection at once. */
    public void close() {
        if (!closed) {
            closed = true;
            requests.fail(ended());
            responses.cancel();
        }
    }

    private static IllegalStateException ended() {
        return new IllegalStateException("The connection to the endpoint ended.");
    }
}
