package org.marjoramnotch.daemon.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.marjoramnotch.daemon.duty.CellInput;
import org.marjoramnotch.daemon.duty.DutyInputQueue;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.logic.replication.ReplicationStatus;

/** The route for the metrics collector. */
final class MetricsRoutes implements Routes {
    private static final int OK = 200;
    private static final long STATUS_TIMEOUT_MILLISECONDS = 1_000;

    private final Optional<DutyInputQueue<CellInput>> replica;
    private final DaemonMetrics metrics;
    private final Executor executor;

    /**
     * Creates the routes.
     *
     * @param executor formats the metrics, so that this is not done on the thread of the replica's
     *     duty
     */
    MetricsRoutes(
            Optional<DutyInputQueue<CellInput>> replica, DaemonMetrics metrics, Executor executor) {
        this.replica = replica;
        this.metrics = metrics;
        this.executor = executor;
    }

    @Override
    public Optional<CompletionStage<HttpResponse>> handle(HttpCall call) {
        if (!call.matches("GET", "metrics")) {
            return Optional.empty();
        }
        return Optional.of(replica.map(this::withStatus).orElseGet(this::withoutStatus));
    }

    private CompletionStage<HttpResponse> withStatus(DutyInputQueue<CellInput> input) {
        CompletableFuture<ReplicationStatus> status = new CompletableFuture<>();
        if (!input.offer(new CellInput.ReadReplication(status))) {
            return withoutStatus();
        }
        return status.orTimeout(STATUS_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .handleAsync((latest, timeout) -> text(Optional.ofNullable(latest)), executor);
    }

    private CompletionStage<HttpResponse> withoutStatus() {
        return CompletableFuture.completedFuture(text(Optional.empty()));
    }

    private HttpResponse text(Optional<ReplicationStatus> status) {
        metrics.leader().gauges().onStatus(status);
        return HttpResponse.of(OK, HttpResponse.TEXT, metrics.prometheusText());
    }
}
