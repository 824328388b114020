package org.marjoramnotch.logic.job;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.QueuePolicy;

/** Counts waiting and running times; one significant digit, since there are many teams. */
final class JobHistograms implements JobMeasures {
    private static final int SIGNIFICANT_DIGITS = 1;

    private final Map<MeasureKey, JobMeasure> histograms = new HashMap<>();
    private final Histogram urgent = new Histogram(SIGNIFICANT_DIGITS);

    private final JobRunMeasures measures;

    JobHistograms(JobRunMeasures measures) {
        this.measures = measures;
    }

    void waited(JobEntry job, long milliseconds) {
        long value = Math.max(0, milliseconds);
        measure(job).waitingMilliseconds().recordValue(value);
        measures.onRunStarted(job.team, job.policy, value);
        if (job.specification.urgent()) {
            urgent.recordValue(value);
        }
    }

    void ran(JobEntry job, long milliseconds) {
        long value = Math.max(0, milliseconds);
        measure(job).runningMilliseconds().recordValue(value);
        measures.onRunEnded(job.team, job.policy, value);
    }

    @Override
    public Collection<JobMeasure> measures() {
        return Collections.unmodifiableCollection(histograms.values());
    }

    @Override
    public Histogram urgentWaitingMilliseconds() {
        return urgent;
    }

    private JobMeasure measure(JobEntry job) {
        return histograms.computeIfAbsent(
                new MeasureKey(job.team, job.policy),
                key ->
                        new JobMeasure(
                                key.team,
                                key.policy,
                                new Histogram(SIGNIFICANT_DIGITS),
                                new Histogram(SIGNIFICANT_DIGITS)));
    }

    private record MeasureKey(TeamName team, QueuePolicy policy) {}
}
