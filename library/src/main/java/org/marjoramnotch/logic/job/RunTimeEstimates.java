package org.marjoramnotch.logic.job;

import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Estimates how long runs take from earlier runs of the same work, since the declared run times are
 * often far off.
 */
final class RunTimeEstimates {
    private static final int MAXIMUM_WORKLOADS = 2_000;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double HIGH_PERCENTILE = 90;

    private final Map<Workload, Estimate> byWorkload =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Workload, Estimate> eldest) {
                    return size() > MAXIMUM_WORKLOADS;
                }
            };

    void record(JobEntry job, long milliseconds) {
        byWorkload.computeIfAbsent(Workload.of(job), workload -> new Estimate()).add(milliseconds);
    }

    /**
     * Returns the observed median in milliseconds, or the declared run time until enough runs were
     * observed.
     */
    long median(JobEntry job) {
        Estimate estimate = estimate(job);
        return estimate == null ? job.specification.expectedRunMilliseconds() : estimate.median;
    }

    /**
     * Returns the observed 90th percentile in milliseconds, or the declared run time until enough
     * runs were observed.
     */
    long ninetiethPercentile(JobEntry job) {
        Estimate estimate = estimate(job);
        return estimate == null
                ? job.specification.expectedRunMilliseconds()
                : estimate.ninetiethPercentile;
    }

    private @Nullable Estimate estimate(JobEntry job) {
        Estimate estimate = byWorkload.get(Workload.of(job));
        return estimate == null || !estimate.hasEnoughRuns() ? null : estimate;
    }

    private record Workload(TeamName team, String name) {
        static Workload of(JobEntry job) {
            return new Workload(job.team, job.specification.name());
        }
    }

    /** The observed run times of one kind of work. */
    private static final class Estimate {
        private static final int MINIMUM_RUNS = 5;
        private static final int MAXIMUM_RUNS = 500;
        private static final int KEPT_QUANTILES = 50;

        /**
         * Number of runs after which the percentiles are recomputed, since that iterates over all
         * counts.
         */
        private static final int REFRESH_RUNS = 8;

        private final IntCountsHistogram runs = new IntCountsHistogram(1);
        private long median;
        private long ninetiethPercentile;

        void add(long milliseconds) {
            if (runs.getTotalCount() >= MAXIMUM_RUNS) {
                condense();
            }
            runs.recordValue(Math.max(0, milliseconds));
            if (runs.getTotalCount() <= REFRESH_RUNS || runs.getTotalCount() % REFRESH_RUNS == 0) {
                median = runs.getValueAtPercentile(MEDIAN_PERCENTILE);
                ninetiethPercentile = runs.getValueAtPercentile(HIGH_PERCENTILE);
            }
        }

        boolean hasEnoughRuns() {
            return runs.getTotalCount() >= MINIMUM_RUNS;
        }

        /**
         * Replaces the recorded runs by some of their quantiles, so that recent runs have the
         * largest weight.
         */
        private void condense() {
            long[] values = new long[KEPT_QUANTILES];
            for (int i = 0; i < values.length; i++) {
                values[i] = runs.getValueAtPercentile(100.0 * (i + 0.5) / values.length);
            }
            runs.reset();
            for (long value : values) {
                runs.recordValue(value);
            }
        }
    }
}
