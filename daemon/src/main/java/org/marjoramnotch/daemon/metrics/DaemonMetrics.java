package org.marjoramnotch.daemon.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.TeamName;

/** What the process counts and measures, for each team and class of work. */
public final class DaemonMetrics {
    private static final double MILLISECONDS_PER_SECOND = 1000.0;
    private static final double[] SECONDS = {
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 600
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Histogram waiting =
            Histogram.builder()
                    .name("marjoramnotch_waiting_seconds")
                    .help("Time from the arrival of a request to its sending to an endpoint.")
                    .labelNames("team", "class")
                    .classicOnly()
                    .classicUpperBounds(SECONDS)
                    .register(registry);
    private final Histogram total =
            Histogram.builder()
                    .name("marjoramnotch_total_seconds")
                    .help("Time from the arrival of a request to its whole answer.")
                    .labelNames("team", "class")
                    .classicOnly()
                    .classicUpperBounds(SECONDS)
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

    private final LeaderMetrics leader = new LeaderMetrics(registry);

    /** Returns what is measured while this process leads. */
    public LeaderMetrics leader() {
        return leader;
    }

    /** Records how long a request waited for its endpoint. */
    public void waited(TeamName team, String workClass, long milliseconds) {
        waiting.labelValues(team.value(), workClass)
                .observe(milliseconds / MILLISECONDS_PER_SECOND);
    }

    /** Records how long a request took in all. */
    public void answered(TeamName team, String workClass, long milliseconds) {
        total.labelValues(team.value(), workClass).observe(milliseconds / MILLISECONDS_PER_SECOND);
    }

    /** Counts a refusal. */
    public void refused(ErrorCode code) {
        refusals.labelValues(code.name()).inc();
    }

    /** Counts an event. */
    public void count(CountedEvent event) {
        events.labelValues(event.label()).inc();
    }

    /** Returns how often an event was counted. */
    public long counted(CountedEvent event) {
        return (long) events.labelValues(event.label()).get();
    }

    /** Returns all figures in the text format of Prometheus. */
    public byte[] text() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(output, registry.scrape());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return output.toByteArray();
    }
}
