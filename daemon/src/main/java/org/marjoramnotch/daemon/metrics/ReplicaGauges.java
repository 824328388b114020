package org.marjoramnotch.daemon.metrics;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.marjoramnotch.logic.cell.CellMetrics;
import org.marjoramnotch.logic.cell.TeamMetrics;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.logic.workflow.WorkflowMetrics;
import org.marjoramnotch.model.resource.Resources;

/**
 * Exports the latest state of the replica and, while it leads, of its cell. Both values are
 * immutable and are replaced as a whole, so that any thread may read them.
 */
public final class ReplicaGauges {
    private volatile Optional<ReplicationStatus> status = Optional.empty();
    private volatile Optional<CellMetrics> cellMetrics = Optional.empty();

    ReplicaGauges(PrometheusRegistry registry) {
        registerReplicaGauge(
                registry,
                "leading",
                "1 if this replica leads.",
                replica -> replica.leading() ? 1 : 0);
        registerReplicaGauge(registry, "term", "Term of this replica.", ReplicationStatus::term);
        registerReplicaGauge(
                registry,
                "commit_index",
                "Last position of the log that this replica knows to be committed.",
                ReplicationStatus::commitIndex);
        registerTeamGauge(
                registry,
                "team_running",
                "Open attempts and running tasks of a team.",
                TeamMetrics::running);
        registerTeamGauge(
                registry,
                "team_upper_limit",
                "Most open attempts and running tasks of a team.",
                TeamMetrics::upperLimit);
        registerTeamGauge(
                registry,
                "team_share_distance_ratio",
                "Part of all that ran by which a team missed or exceeded its share; the largest of"
                        + " six windows of 10 s.",
                TeamMetrics::shareDeviation);
        registerWorkerGauge(
                registry,
                "workers_used",
                "Resources of the workers that runs hold.",
                latest -> latest.utilization().used());
        registerWorkerGauge(
                registry,
                "workers_capacity",
                "Resources of all registered workers.",
                latest -> latest.utilization().total());
        registerWorkflowGauges(registry);
        register(
                registry,
                GaugeWithCallback.builder()
                        .name("marjoramnotch_heap_free_ratio")
                        .help("Share of the heap that is free, before a collection."),
                callback -> callback.call(HeapUse.freeShare()));
    }

    private void registerWorkflowGauges(PrometheusRegistry registry) {
        registerWorkflowGauge(
                registry,
                "workers_known",
                "Enrolled workers that take orders.",
                WorkflowMetrics::knownWorkers);
        registerWorkflowGauge(
                registry,
                "workers_usable",
                "Enrolled workers on which runs may start now.",
                WorkflowMetrics::usableWorkers);
        registerWorkflowGauge(
                registry,
                "advice_questions_waiting",
                "Questions to the placement advisor that no process has taken yet.",
                WorkflowMetrics::waitingQuestions);
        registerWorkflowGauge(
                registry,
                "held_bytes",
                "Size of all workflows in a replica, as it is counted against the limit.",
                WorkflowMetrics::heldBytes);
        registerWorkflowGauge(
                registry,
                "held_limit_bytes",
                "How much the replica that can hold least can hold.",
                WorkflowMetrics::mostHeldBytes);
    }

    private void registerWorkflowGauge(
            PrometheusRegistry registry,
            String name,
            String help,
            ToDoubleFunction<WorkflowMetrics> value) {
        register(
                registry,
                GaugeWithCallback.builder().name("marjoramnotch_" + name).help(help),
                callback ->
                        current()
                                .flatMap(CellMetrics::workflow)
                                .ifPresent(latest -> callback.call(value.applyAsDouble(latest))));
    }

    /** Sets the state of the replica; empty if it does not answer. */
    public void onStatus(Optional<ReplicationStatus> latest) {
        status = latest;
    }

    void onCellMetrics(CellMetrics latest) {
        cellMetrics = Optional.of(latest);
    }

    /**
     * Returns the state of the cell. It is empty unless this replica leads, since the state known
     * to another replica may be out of date.
     */
    private Optional<CellMetrics> current() {
        return status.filter(ReplicationStatus::leading).flatMap(leading -> cellMetrics);
    }

    private void registerReplicaGauge(
            PrometheusRegistry registry,
            String name,
            String help,
            ToDoubleFunction<ReplicationStatus> value) {
        register(
                registry,
                GaugeWithCallback.builder().name("marjoramnotch_" + name).help(help),
                callback -> status.ifPresent(latest -> callback.call(value.applyAsDouble(latest))));
    }

    private void registerTeamGauge(
            PrometheusRegistry registry,
            String name,
            String help,
            ToDoubleFunction<TeamMetrics> value) {
        register(
                registry,
                GaugeWithCallback.builder()
                        .name("marjoramnotch_" + name)
                        .help(help)
                        .labelNames("team"),
                callback -> current().ifPresent(latest -> reportTeams(latest, callback, value)));
    }

    private static void reportTeams(
            CellMetrics latest,
            GaugeWithCallback.Callback callback,
            ToDoubleFunction<TeamMetrics> value) {
        latest.teams().stream()
                .limit(LeaderMetrics.MAXIMUM_TEAM_LABELS)
                .forEach(team -> callback.call(value.applyAsDouble(team), team.team().value()));
    }

    private void registerWorkerGauge(
            PrometheusRegistry registry,
            String name,
            String help,
            Function<CellMetrics, Resources> value) {
        register(
                registry,
                GaugeWithCallback.builder()
                        .name("marjoramnotch_" + name)
                        .help(help)
                        .labelNames("resource"),
                callback ->
                        current()
                                .map(value)
                                .ifPresent(latest -> reportResources(latest, callback)));
    }

    private static void reportResources(Resources latest, GaugeWithCallback.Callback callback) {
        callback.call(latest.processorMillis(), "processor_millis");
        callback.call(latest.memoryMegabytes(), "memory_megabytes");
        callback.call(latest.accelerators(), "accelerators");
    }

    private static void register(
            PrometheusRegistry registry,
            GaugeWithCallback.Builder builder,
            Consumer<GaugeWithCallback.Callback> callback) {
        builder.callback(callback).register(registry);
    }
}
