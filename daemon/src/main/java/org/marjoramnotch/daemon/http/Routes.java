package org.marjoramnotch.daemon.http;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** The calls of one interface. */
@FunctionalInterface
interface Routes {
    /** Returns the answer to a call, or empty if the call is none of this interface. */
    Optional<CompletionStage<HttpResponse>> handle(HttpCall call);
}
