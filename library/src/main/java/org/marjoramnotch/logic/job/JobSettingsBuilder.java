package org.marjoramnotch.logic.job;

/** Builds {@link JobSettings}. Settings that are not set keep their defaults. */
public final class JobSettingsBuilder {
    private QueueOrder order = QueueOrder.FAIR_SHARE;
    private long workerLeaseMilliseconds = 10_000;
    private int clockDriftPercent = 1;
    private long leaseMarginMilliseconds = 500;
    private long maximumHoldMilliseconds = 5_000;
    private int maximumPlacementsPerTick = 512;
    private int maximumAttemptsPerTick = 2_048;
    private int maximumStopsPerTick = 256;
    private int maximumQueuedTasks = 100_000;
    private long preemptionDelayMilliseconds = 1_000;
    private long reservationDelayMilliseconds = 10_000;
    private long quarantineMilliseconds = 10_000;
    private double runTimeWeight = 0.25;

    JobSettingsBuilder() {}

    /** Sets the order in which queued jobs are considered. */
    public JobSettingsBuilder order(QueueOrder value) {
        order = value;
        return this;
    }

    /** Sets the worker lease, the tolerated clock drift and the margin. */
    public JobSettingsBuilder lease(long milliseconds, int driftPercent, long marginMilliseconds) {
        workerLeaseMilliseconds = milliseconds;
        clockDriftPercent = driftPercent;
        leaseMarginMilliseconds = marginMilliseconds;
        return this;
    }

    /** Sets the longest time to hold a renewal. */
    public JobSettingsBuilder maximumHoldMilliseconds(long value) {
        maximumHoldMilliseconds = value;
        return this;
    }

    /** Sets the maximum numbers of placements, placement attempts and stops in one tick. */
    public JobSettingsBuilder workPerTick(int placements, int attempts, int stops) {
        maximumPlacementsPerTick = placements;
        maximumAttemptsPerTick = attempts;
        maximumStopsPerTick = stops;
        return this;
    }

    /** Sets how many tasks may be queued. */
    public JobSettingsBuilder maximumQueuedTasks(int value) {
        maximumQueuedTasks = value;
        return this;
    }

    /** Sets how long urgent work waits before other runs are stopped for it. */
    public JobSettingsBuilder preemptionDelayMilliseconds(long value) {
        preemptionDelayMilliseconds = value;
        return this;
    }

    /** Sets how long a task that does not fit waits before a worker is reserved for it. */
    public JobSettingsBuilder reservationDelayMilliseconds(long value) {
        reservationDelayMilliseconds = value;
        return this;
    }

    /** Sets the time before the first probe of a quarantined worker. */
    public JobSettingsBuilder quarantineMilliseconds(long value) {
        quarantineMilliseconds = value;
        return this;
    }

    /** Sets the fraction of the estimated run time of a job that is added to its arrival time. */
    public JobSettingsBuilder runTimeWeight(double value) {
        runTimeWeight = value;
        return this;
    }

    /** Returns the settings. */
    public JobSettings build() {
        return new JobSettings(
                order,
                workerLeaseMilliseconds,
                clockDriftPercent,
                leaseMarginMilliseconds,
                maximumHoldMilliseconds,
                maximumPlacementsPerTick,
                maximumAttemptsPerTick,
                maximumStopsPerTick,
                maximumQueuedTasks,
                preemptionDelayMilliseconds,
                reservationDelayMilliseconds,
                quarantineMilliseconds,
                runTimeWeight);
    }
}
