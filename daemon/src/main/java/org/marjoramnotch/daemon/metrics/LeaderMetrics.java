package org.marjoramnotch.daemon.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.marjoramnotch.logic.cell.CellMetrics;
import org.marjoramnotch.logic.cell.LeaderMetricsListener;
import org.marjoramnotch.logic.workflow.RunEndSource;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.workflow.RunEndEffect;

/**
 * The metrics that the process collects while it leads. The thread of the replica's duty updates
 * them; the threads that serve metrics read them.
 */
public final class LeaderMetrics implements LeaderMetricsListener {
    /** Maximum number of teams with their own label; all others share {@link #OTHER_TEAMS}. */
    static final int MAXIMUM_TEAM_LABELS = 1024;

    static final String OTHER_TEAMS = "other-teams";

    private static final double MILLISECONDS_PER_SECOND = 1000.0;
    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.005, 0.025, 0.1, 0.5, 2.5, 10, 60, 600
    };
    private static final String FEED = "feed";

    private final Set<TeamName> labelledTeams = ConcurrentHashMap.newKeySet();
    private final Histogram waiting;
    private final Histogram running;
    private final Counter refusals;
    private final Histogram refusedVersionAge;
    private final Counter runEnds;
    private final Counter uncountedEnds;
    private final Counter startsGivenUp;
    private final Counter aboveShare;
    private final ReplicaGauges gauges;

    LeaderMetrics(PrometheusRegistry registry) {
        waiting =
                histogram(
                        "marjoramnotch_leader_waiting_seconds",
                        "Time from the arrival at the leader, or the queueing of a task, to the"
                                + " grant or start.",
                        registry);
        running =
                histogram(
                        "marjoramnotch_leader_running_seconds",
                        "Time from the sending of a request or the start of a task to its end.",
                        registry);
        refusals =
                Counter.builder()
                        .name("marjoramnotch_leader_refusals")
                        .help("Requests of known teams that the leader refused.")
                        .labelNames("team", "code")
                        .register(registry);
        refusedVersionAge =
                Histogram.builder()
                        .name("marjoramnotch_call_refused_version_age_seconds")
                        .help(
                                "Age of the configuration under which a call was refused, from its"
                                        + " proposal by the clock of its leader.")
                        .labelNames("code")
                        .classicOnly()
                        .classicUpperBounds(ReplicaMetrics.AGE_BOUNDS_SECONDS)
                        .register(registry);
        runEnds =
                Counter.builder()
                        .name("marjoramnotch_leader_run_ends")
                        .help("Ends of runs that were applied, by source and by effect.")
                        .labelNames("source", "effect")
                        .register(registry);
        uncountedEnds =
                Counter.builder()
                        .name("marjoramnotch_leader_uncounted_ends")
                        .help(
                                "Ends that were acknowledged to workers without being proposed, by"
                                        + " the reason.")
                        .labelNames("reason")
                        .register(registry);
        startsGivenUp =
                Counter.builder()
                        .name("marjoramnotch_leader_starts_given_up")
                        .help("Starts that were given up since their workers did not answer.")
                        .register(registry);
        aboveShare =
                Counter.builder()
                        .name("marjoramnotch_leader_above_share_seconds")
                        .help("Seconds in which a team was above its share of a short pool.")
                        .labelNames("team")
                        .register(registry);
        gauges = new ReplicaGauges(registry);
    }

    private static Histogram histogram(String name, String help, PrometheusRegistry registry) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames("team", "class")
                .classicOnly()
                .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                .register(registry);
    }

    /** Returns the gauges of the replica. */
    public ReplicaGauges gauges() {
        return gauges;
    }

    @Override
    public void onGranted(TeamName team, boolean urgent, long waitedMilliseconds) {
        observe(waiting, team, urgent ? "urgent" : "quick", waitedMilliseconds);
    }

    @Override
    public void onEnded(TeamName team, long ranMilliseconds) {
        observe(running, team, "quick", ranMilliseconds);
    }

    @Override
    public void onFeedGranted(TeamName team, long waitedMilliseconds) {
        observe(waiting, team, FEED, waitedMilliseconds);
    }

    @Override
    public void onFeedEnded(TeamName team, long ranMilliseconds) {
        observe(running, team, FEED, ranMilliseconds);
    }

    @Override
    public void onRefused(TeamName team, ErrorCode code) {
        refusals.labelValues(label(team), code.name()).inc();
    }

    @Override
    public void onCallRefused(ErrorCode code, long versionAgeMilliseconds) {
        refusedVersionAge
                .labelValues(code.name())
                .observe(versionAgeMilliseconds / MILLISECONDS_PER_SECOND);
    }

    @Override
    public void onRunStarted(TeamName team, QueuePolicy policy, long waitedMilliseconds) {
        observe(waiting, team, label(policy), waitedMilliseconds);
    }

    @Override
    public void onRunEnded(TeamName team, QueuePolicy policy, long ranMilliseconds) {
        observe(running, team, label(policy), ranMilliseconds);
    }

    @Override
    public void onEndApplied(RunEndSource source, RunEndEffect effect) {
        runEnds.labelValues(label(source), label(effect)).inc();
    }

    @Override
    public void onUncountedEndAcknowledged(RunEndEffect effect) {
        uncountedEnds.labelValues(label(effect)).inc();
    }

    @Override
    public void onStartGivenUp() {
        startsGivenUp.inc();
    }

    @Override
    public void onTeamAboveShare(TeamName team) {
        aboveShare.labelValues(label(team)).inc();
    }

    @Override
    public void onCellMetrics(CellMetrics metrics) {
        gauges.onCellMetrics(metrics);
    }

    private void observe(Histogram histogram, TeamName team, String workClass, long milliseconds) {
        histogram
                .labelValues(label(team), workClass)
                .observe(milliseconds / MILLISECONDS_PER_SECOND);
    }

    private String label(TeamName team) {
        if (labelledTeams.contains(team)) {
            return team.value();
        }
        if (labelledTeams.size() >= MAXIMUM_TEAM_LABELS) {
            return OTHER_TEAMS;
        }
        labelledTeams.add(team);
        return team.value();
    }

    private static String label(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
