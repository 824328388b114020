package org.marjoramnotch.daemon.entry;

import java.util.concurrent.Flow;
import org.marjoramnotch.daemon.endpoint.CompleteAnswer;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.Refusal;

/** The answer to a caller. */
public sealed interface CallerAnswer {
    /**
     * The complete answer of the endpoint.
     *
     * @param answer the answer
     */
    record Complete(CompleteAnswer answer) implements CallerAnswer {}

    /**
     * The stored answer of an earlier request with the same idempotency key.
     *
     * @param answer the answer
     */
    record Replay(StoredAnswer answer) implements CallerAnswer {}

    /**
     * A feed that has started.
     *
     * @param status the HTTP status
     * @param contentType the HTTP content type; empty for none
     * @param body the streamed body, which reports its end
     */
    record Feed(int status, String contentType, Flow.Publisher<byte[]> body)
            implements CallerAnswer {}

    /**
     * A refusal, without an answer of an endpoint.
     *
     * @param refusal the refusal
     */
    record Refused(Refusal refusal) implements CallerAnswer {}
}
