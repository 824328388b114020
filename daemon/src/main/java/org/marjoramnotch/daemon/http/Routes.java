package org.marjoramnotch.daemon.http;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** A group of HTTP routes. */
@FunctionalInterface
interface Routes {
    /** Returns the response to a call, or empty if no route of this group matches the call. */
    Optional<CompletionStage<HttpResponse>> handle(HttpCall call);
}
