package org.marjoramnotch.logic.job;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.QueuePolicy;

/**
 * Records waiting and run times. The histograms keep only one significant digit, since there are
 * many teams.
 */
final class JobHistograms implements JobMetrics {
    private static final int SIGNIFICANT_DIGITS = 1;

    private final Map<TeamAndPolicy, TeamJobMetrics> histograms = new HashMap<>();
    private final Histogram urgent = new Histogram(SIGNIFICANT_DIGITS);

    private final JobMetricsListener metricsListener;

    JobHistograms(JobMetricsListener metricsListener) {
        this.metricsListener = metricsListener;
    }

    void recordWaitingTime(JobEntry job, long milliseconds) {
        long value = Math.max(0, milliseconds);
        histogramsOf(job).waitingMilliseconds().recordValue(value);
        metricsListener.onRunStarted(job.team, job.policy, value);
        if (job.specification.urgent()) {
            urgent.recordValue(value);
        }
    }

    void recordRunTime(JobEntry job, long milliseconds) {
        long value = Math.max(0, milliseconds);
        histogramsOf(job).runningMilliseconds().recordValue(value);
        metricsListener.onRunEnded(job.team, job.policy, value);
    }

    @Override
    public Collection<TeamJobMetrics> teamMetrics() {
        return Collections.unmodifiableCollection(histograms.values());
    }

    @Override
    public Histogram urgentWaitingMilliseconds() {
        return urgent;
    }

    private TeamJobMetrics histogramsOf(JobEntry job) {
        return histograms.computeIfAbsent(
                new TeamAndPolicy(job.team, job.policy),
                key ->
                        new TeamJobMetrics(
                                key.team,
                                key.policy,
                                new Histogram(SIGNIFICANT_DIGITS),
                                new Histogram(SIGNIFICANT_DIGITS)));
    }

    private record TeamAndPolicy(TeamName team, QueuePolicy policy) {}
}
