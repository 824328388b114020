package org.marjoramnotch.logic.job;

import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.TeamName;

/** Learns how long runs of the same work take, since declared times are far off. */
final class RunTimes {
    private static final int MOST_NAMES = 2_000;
    private static final double TYPICAL_PERCENTILE = 50;
    private static final double LATE_PERCENTILE = 90;

    private final Map<Work, Learned> byWork =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Work, Learned> eldest) {
                    return size() > MOST_NAMES;
                }
            };

    void record(JobEntry job, long milliseconds) {
        byWork.computeIfAbsent(Work.of(job), work -> new Learned()).add(milliseconds);
    }

    /** Returns the median that was observed, or the declared time before enough was. */
    long typical(JobEntry job) {
        Learned learned = learned(job);
        return learned == null ? job.specification.expectedRunMilliseconds() : learned.typical;
    }

    /** Returns what nine of ten runs did not exceed, or the declared time. */
    long late(JobEntry job) {
        Learned learned = learned(job);
        return learned == null ? job.specification.expectedRunMilliseconds() : learned.late;
    }

    private @Nullable Learned learned(JobEntry job) {
        Learned learned = byWork.get(Work.of(job));
        return learned == null || !learned.isEnough() ? null : learned;
    }

    private record Work(TeamName team, String name) {
        static Work of(JobEntry job) {
            return new Work(job.team, job.specification.name());
        }
    }

    /** What was observed of one kind of work. */
    private static final class Learned {
        private static final int FEWEST_RUNS = 5;
        private static final int MOST_RUNS = 500;
        private static final int KEPT_QUANTILES = 50;

        /** Percentiles are read again after so many runs, since reading walks all counts. */
        private static final int REFRESH_RUNS = 8;

        private final IntCountsHistogram runs = new IntCountsHistogram(1);
        private long typical;
        private long late;

        void add(long milliseconds) {
            if (runs.getTotalCount() >= MOST_RUNS) {
                forgetMost();
            }
            runs.recordValue(Math.max(0, milliseconds));
            if (runs.getTotalCount() <= REFRESH_RUNS || runs.getTotalCount() % REFRESH_RUNS == 0) {
                typical = runs.getValueAtPercentile(TYPICAL_PERCENTILE);
                late = runs.getValueAtPercentile(LATE_PERCENTILE);
            }
        }

        boolean isEnough() {
            return runs.getTotalCount() >= FEWEST_RUNS;
        }

        /** Keeps some quantiles of the past, so that what was observed lately weighs most. */
        private void forgetMost() {
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
