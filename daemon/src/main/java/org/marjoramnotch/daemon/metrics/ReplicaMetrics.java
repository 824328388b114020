package org.marjoramnotch.daemon.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.WorkerCall;

/** Metrics of the replica of the process. */
public final class ReplicaMetrics {
    private static final double MILLISECONDS_PER_SECOND = 1000.0;
    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.001, 0.005, 0.025, 0.1, 0.25, 0.5, 1, 2.5, 10
    };

    private final Histogram inputDelay;
    private final Counter calls;

    ReplicaMetrics(PrometheusRegistry registry) {
        inputDelay =
                Histogram.builder()
                        .name("marjoramnotch_replica_input_delay_seconds")
                        .help(
                                "Time from the arrival of an input of the replica to its handling;"
                                        + " one input at a time is measured.")
                        .classicOnly()
                        .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                        .register(registry);
        calls =
                Counter.builder()
                        .name("marjoramnotch_worker_calls")
                        .help("Calls of the leader to workers, by kind of call and by outcome.")
                        .labelNames("call", "outcome")
                        .register(registry);
    }

    /** Records how long an input waited. */
    public void recordInputDelay(long milliseconds) {
        inputDelay.observe(milliseconds / MILLISECONDS_PER_SECOND);
    }

    /** Counts the outcome of a call to a worker. */
    public void countWorkerCall(WorkerCall call, CallOutcome outcome) {
        calls.labelValues(call.getClass().getSimpleName(), labelOf(outcome)).inc();
    }

    private static String labelOf(CallOutcome outcome) {
        if (outcome instanceof CallOutcome.Rejected rejected) {
            return rejected.reason().name().toLowerCase(Locale.ROOT);
        }
        boolean answered =
                outcome instanceof CallOutcome.Accepted || outcome instanceof CallOutcome.Listed;
        return answered ? "accepted" : "unanswered";
    }
}
