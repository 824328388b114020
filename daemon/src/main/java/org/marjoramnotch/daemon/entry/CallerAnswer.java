package org.marjoramnotch.daemon.entry;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramnotch.daemon.endpoint.CompleteAnswer;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.Refusal;

/** What a caller is answered. */
public sealed interface CallerAnswer {
    /**
     * The endpoint's whole answer.
     *
     * @param answer the answer
     */
    record Complete(CompleteAnswer answer) implements CallerAnswer {}

    /**
     * The first answer of the request's idempotency key.
     *
     * @param answer the answer
     */
    record Replay(StoredAnswer answer) implements CallerAnswer {}

    /**
     * A feed that has begun.
     *
     * @param response its status and its body, which reports its own end
     */
    record Feed(HttpResponse response) implements CallerAnswer {}

    /**
     * No answer of an endpoint.
     *
     * @param refusal what to tell
     */
    record Refused(Refusal refusal) implements CallerAnswer {}
}
