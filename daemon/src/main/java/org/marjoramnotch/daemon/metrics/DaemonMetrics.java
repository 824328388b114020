package org.marjoramnotch.daemon.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.marjoramnotch.daemon.log.ProcessOutput;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.Refused;

/** The metrics of the process, for each team and class of work. */
public final class DaemonMetrics {
    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    /**
     * Fields of decisions that become the label "result". They have few values; other fields would
     * create a time series for each run.
     */
    private static final Set<String> RESULT_FIELDS =
            Set.of("outcome", "reason", "cause", "waits_for");

    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 600
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Histogram waiting =
            Histogram.builder()
                    .name("marjoramnotch_waiting_seconds")
                    .help("Time from the arrival of a request to its sending to an endpoint.")
                    .labelNames("team", "class")
                    .classicOnly()
                    .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                    .register(registry);
    private final Histogram total =
            Histogram.builder()
                    .name("marjoramnotch_total_seconds")
                    .help("Time from the arrival of a request to its whole answer.")
                    .labelNames("team", "class")
                    .classicOnly()
                    .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                    .register(registry);
    private final Counter refusals =
            Counter.builder()
                    .name("marjoramnotch_refusals")
                    .help("Requests that were refused or failed.")
                    .labelNames("code")
                    .register(registry);
    private final Counter events =
            Counter.builder()
                    .name("marjoramnotch_events")
                    .help("Discarded answers, replaced links, dropped messages and the like.")
                    .labelNames("event")
                    .register(registry);

    private final Histogram replies =
            Histogram.builder()
                    .name("marjoramnotch_cell_request_seconds")
                    .help(
                            "Time from sending a request to the cell until the reply of the leader"
                                    + " or the refusal here, by kind of request and by the code of"
                                    + " the refusal.")
                    .labelNames("request", "code")
                    .classicOnly()
                    .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                    .register(registry);
    private final Counter decisions =
            Counter.builder()
                    .name("marjoramnotch_decisions")
                    .help(
                            "Decisions about workflows, workers and the configuration while this"
                                    + " process leads, by event and by outcome, reason or cause.")
                    .labelNames("event", "result")
                    .register(registry);

    private final Counter refusedConfigurations =
            Counter.builder()
                    .name("marjoramnotch_refused_configurations")
                    .help("Documents of a configuration that were refused when they were read.")
                    .labelNames("code")
                    .register(registry);

    private final Counter clientRefusals =
            Counter.builder()
                    .name("marjoramnotch_client_refusals")
                    .help("Clients that were refused, or whose connections were closed, by cause.")
                    .labelNames("reason")
                    .register(registry);

    private final LeaderMetrics leader = new LeaderMetrics(registry);

    private final ReplicaMetrics replica = new ReplicaMetrics(registry);

    /** Creates the metrics of a process. */
    public DaemonMetrics() {
        this(ProcessOutput::droppedLines);
    }

    /** Creates metrics with a source of the numbers of dropped log lines by event. */
    DaemonMetrics(Supplier<Map<String, Long>> droppedLines) {
        CounterWithCallback.builder()
                .name("marjoramnotch_log_lines_dropped")
                .help("Log lines that were dropped because the reader of the logs was too slow.")
                .labelNames("event")
                .callback(
                        counter ->
                                droppedLines
                                        .get()
                                        .forEach((event, lines) -> counter.call(lines, event)))
                .register(registry);
    }

    /** Returns the metrics of the replica. */
    public ReplicaMetrics replica() {
        return replica;
    }

    /** Returns the metrics that are collected while this process leads. */
    public LeaderMetrics leader() {
        return leader;
    }

    /** Records how long a request waited for an endpoint. */
    public void recordWaitTime(TeamName team, String workClass, long milliseconds) {
        waiting.labelValues(team.value(), workClass)
                .observe(milliseconds / MILLISECONDS_PER_SECOND);
    }

    /** Records the total time of a request. */
    public void recordTotalTime(TeamName team, String workClass, long milliseconds) {
        total.labelValues(team.value(), workClass).observe(milliseconds / MILLISECONDS_PER_SECOND);
    }

    /** Counts a refusal. */
    public void countRefusal(ErrorCode code) {
        refusals.labelValues(code.name()).inc();
    }

    /** Counts a document of a configuration that was refused. */
    public void countRefusedConfiguration(ErrorCode code) {
        refusedConfigurations.labelValues(code.name()).inc();
    }

    /** Counts a client that was refused or whose connection was closed. */
    public void countClientRefusal(String reason) {
        clientRefusals.labelValues(reason).inc();
    }

    /** Returns how often clients were refused for a reason. */
    public long clientRefusals(String reason) {
        return (long) clientRefusals.labelValues(reason).get();
    }

    /** Counts an event. */
    public void count(CountedEvent event) {
        events.labelValues(event.label()).inc();
    }

    /** Records the time from sending a request to the cell to its reply. */
    public void recordCellRequest(CellRequest request, CellReply reply, long milliseconds) {
        String code = reply instanceof Refused refused ? refused.refusal().code().name() : "";
        replies.labelValues(request.getClass().getSimpleName(), code)
                .observe(milliseconds / MILLISECONDS_PER_SECOND);
    }

    /** Counts a decision that is also logged. */
    public void countDecision(DecisionLogEntry decision) {
        decisions.labelValues(decision.event(), resultOf(decision)).inc();
    }

    private static String resultOf(DecisionLogEntry decision) {
        List<Object> fields = decision.fields();
        for (int position = 0; position + 1 < fields.size(); position += 2) {
            if (RESULT_FIELDS.contains(String.valueOf(fields.get(position)))) {
                return String.valueOf(fields.get(position + 1)).toLowerCase(Locale.ROOT);
            }
        }
        return "";
    }

    /** Returns the number of occurrences of an event. */
    public long countOf(CountedEvent event) {
        return (long) events.labelValues(event.label()).get();
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] prometheusText() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(output, registry.scrape());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return output.toByteArray();
    }
}
