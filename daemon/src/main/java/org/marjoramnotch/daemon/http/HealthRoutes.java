package org.marjoramnotch.daemon.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;

/** What the balancer and the metrics collector ask. */
final class HealthRoutes implements Routes {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final BooleanSupplier ready;
    private final DaemonMetrics metrics;

    HealthRoutes(BooleanSupplier ready, DaemonMetrics metrics) {
        this.ready = ready;
        this.metrics = metrics;
    }

    @Override
    public Optional<CompletionStage<HttpResponse>> handle(HttpCall call) {
        if (call.is("GET", "health", "live")) {
            return answer(HttpResponse.create().withStatus(OK));
        }
        if (call.is("GET", "health", "ready")) {
            int status = ready.getAsBoolean() ? OK : UNAVAILABLE;
            return answer(HttpResponse.create().withStatus(status));
        }
        if (call.is("GET", "metrics")) {
            return answer(
                    HttpResponse.create()
                            .withEntity(
                                    HttpEntities.create(
                                            ContentTypes.TEXT_PLAIN_UTF8, metrics.text())));
        }
        return Optional.empty();
    }

    private static Optional<CompletionStage<HttpResponse>> answer(HttpResponse response) {
        return Optional.of(CompletableFuture.completedFuture(response));
    }
}
