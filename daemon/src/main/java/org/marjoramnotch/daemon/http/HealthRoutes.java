package org.marjoramnotch.daemon.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

/** The health checks for the load balancer. */
final class HealthRoutes implements Routes {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final BooleanSupplier ready;

    HealthRoutes(BooleanSupplier ready) {
        this.ready = ready;
    }

    @Override
    public Optional<CompletionStage<HttpResponse>> handle(HttpCall call) {
        if (call.matches("GET", "health", "live")) {
            return answer(HttpResponse.of(OK));
        }
        if (call.matches("GET", "health", "ready")) {
            int status = ready.getAsBoolean() ? OK : UNAVAILABLE;
            return answer(HttpResponse.of(status));
        }
        return Optional.empty();
    }

    private static Optional<CompletionStage<HttpResponse>> answer(HttpResponse response) {
        return Optional.of(CompletableFuture.completedFuture(response));
    }
}
