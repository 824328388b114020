package org.marjoramnotch.daemon.endpoint;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.javadsl.SinkQueueWithCancel;

/**
 * An HTTP connection to an endpoint. An entry opens a new one for each request, since a reused
 * connection could deliver a late or duplicate answer of an earlier request as the answer of this
 * one, or could be dead without either side having noticed.
 */
public final class EndpointConnection {
    private final BoundedSourceQueue<HttpRequest> requests;
    private final SinkQueueWithCancel<HttpResponse> responses;
    private final AtomicBoolean closed = new AtomicBoolean();

    EndpointConnection(
            BoundedSourceQueue<HttpRequest> requests, SinkQueueWithCancel<HttpResponse> responses) {
        this.requests = requests;
        this.responses = responses;
    }

    /**
     * Sends the request over the connection. From this call on the request may have been sent.
     *
     * @return the response, or a failure if the connection ended before it
     */
    public CompletionStage<HttpResponse> exchange(HttpRequest request) {
        if (!QueueOfferResult.enqueued().equals(requests.offer(request))) {
            close();
            return CompletableFuture.failedFuture(ended());
        }
        CompletionStage<Optional<HttpResponse>> response = responses.pull();
        return response.thenApply(answer -> answer.orElseThrow(EndpointConnection::ended));
    }

    /** Closes the connection immediately. */
    public void close() {
        if (closed.compareAndSet(false, true)) {
            requests.fail(ended());
            responses.cancel();
        }
    }

    private static IllegalStateException ended() {
        return new IllegalStateException(
                "The connection to the endpoint was closed before the response.");
    }
}
