package org.marjoramnotch.daemon.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.marjoramnotch.logic.cell.AppliedState;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.WorkerCall;

/** Metrics of the replica of the process. */
public final class ReplicaMetrics {
    private static final double MILLISECONDS_PER_SECOND = 1000.0;
    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.001, 0.005, 0.025, 0.1, 0.25, 0.5, 1, 2.5, 10
    };

    /** Also bound the ages at which calls are refused. */
    static final double[] AGE_BOUNDS_SECONDS = {0.1, 0.25, 0.5, 1, 2.5, 5, 10, 60, 600};

    private final Histogram inputDelay;
    private final Histogram configurationAge;
    private final Counter calls;
    private volatile Optional<AppliedState> appliedState = Optional.empty();

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
        configurationAge =
                Histogram.builder()
                        .name("marjoramnotch_configuration_apply_age_seconds")
                        .help(
                                "Time from the proposal of a configuration, by the clock of its"
                                        + " leader, until it was in force at this replica, by the"
                                        + " clock here.")
                        .classicOnly()
                        .classicUpperBounds(AGE_BOUNDS_SECONDS)
                        .register(registry);
        registerGauge(
                registry,
                "configuration_version",
                "Version of the configuration in force at this replica.",
                AppliedState::configurationVersion);
        registerGauge(
                registry,
                "rules_version",
                "Version of the rules in force at this replica.",
                state -> OptionalLong.of(state.rulesVersion()));
        registerGauge(
                registry,
                "applied_index",
                "Last position of the log that this replica has applied.",
                state -> OptionalLong.of(state.index()));
        calls =
                Counter.builder()
                        .name("marjoramnotch_worker_calls")
                        .help("Calls of the leader to workers, by kind of call and by outcome.")
                        .labelNames("call", "outcome")
                        .register(registry);
    }

    private void registerGauge(
            PrometheusRegistry registry,
            String name,
            String help,
            Function<AppliedState, OptionalLong> value) {
        GaugeWithCallback.builder()
                .name("marjoramnotch_" + name)
                .help(help)
                .callback(
                        callback ->
                                appliedState
                                        .map(value)
                                        .ifPresent(known -> known.ifPresent(callback::call)))
                .register(registry);
    }

    /** Sets what the replica has applied. */
    public void setAppliedState(AppliedState latest) {
        appliedState = Optional.of(latest);
    }

    /** Records the age of a configuration when the replica applied it. */
    public void recordConfigurationAge(long milliseconds) {
        configurationAge.observe(milliseconds / MILLISECONDS_PER_SECOND);
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
