package org.marjoramnotch.logic.job;

import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;
import org.marjoramnotch.model.identifier.TeamName;

/** Learns how long runs of the same work take, since declared times are far off. */
final class RunTimes {
    private static final int MOST_NAMES = 2_000;
    private static final int FEWEST_RUNS = 5;
    private static final int MOST_RUNS = 500;

    private final Map<Work, IntCountsHistogram> byWork =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Work, IntCountsHistogram> eldest) {
                    return size() > MOST_NAMES;
                }
            };

    void record(JobEntry job, long milliseconds) {
        Work work = new Work(job.team, job.specification.name());
        IntCountsHistogram runs = byWork.computeIfAbsent(work, key -> new IntCountsHistogram(1));
        if (runs.getTotalCount() >= MOST_RUNS) {
            forgetMost(runs);
        }
        runs.recordValue(Math.max(0, milliseconds));
    }

    /** Returns a percentile of what was observed, or the declared time before enough was. */
    long estimate(JobEntry job, double percentile) {
        IntCountsHistogram runs = byWork.get(new Work(job.team, job.specification.name()));
        if (runs == null || runs.getTotalCount() < FEWEST_RUNS) {
            return job.specification.expectedRunMilliseconds();
        }
        return runs.getValueAtPercentile(percentile);
    }

    /** Keeps a few quantiles of the past, so that what was observed lately weighs most. */
    private static void forgetMost(IntCountsHistogram runs) {
        int kept = 50;
        long[] values = new long[kept];
        for (int i = 0; i < kept; i++) {
            values[i] = runs.getValueAtPercentile(100.0 * (i + 0.5) / kept);
        }
        runs.reset();
        for (long value : values) {
            runs.recordValue(value);
        }
    }

    private record Work(TeamName team, String name) {}
}
