package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/**
 * Settings of the leader's decisions on jobs.
 *
 * @param order the order in which queued jobs are considered
 * @param workerLeaseMilliseconds how long a worker may run tasks after it sent a renewal
 * @param clockDriftPercent how much slower than the leader's clock the clock of a worker may run
 * @param leaseMarginMilliseconds additional time before a lease is treated as expired
 * @param maximumHoldMilliseconds longest time that a renewal is held while there are no orders
 * @param maximumPlacementsPerTick maximum number of runs proposed in one tick
 * @param maximumAttemptsPerTick maximum number of placements attempted in one tick
 * @param maximumStopsPerTick maximum number of runs of stopping jobs handled in one tick
 * @param maximumQueuedTasks maximum number of queued tasks, above which jobs are refused
 * @param preemptionDelayMilliseconds how long urgent work waits before other runs are stopped for
 *     it
 * @param reservationDelayMilliseconds how long a task that does not fit waits before a worker is
 *     reserved for it
 * @param quarantineMilliseconds time before the first probe of a quarantined worker
 * @param runTimeWeight fraction, at least 0, of the estimated run time of a job that is added to
 *     its arrival time
 */
public record JobSettings(
        QueueOrder order,
        long workerLeaseMilliseconds,
        int clockDriftPercent,
        long leaseMarginMilliseconds,
        long maximumHoldMilliseconds,
        int maximumPlacementsPerTick,
        int maximumAttemptsPerTick,
        int maximumStopsPerTick,
        int maximumQueuedTasks,
        long preemptionDelayMilliseconds,
        long reservationDelayMilliseconds,
        long quarantineMilliseconds,
        double runTimeWeight) {
    /** Rejects settings that cannot work. */
    public JobSettings {
        boolean valid =
                workerLeaseMilliseconds > 0
                        && clockDriftPercent >= 0
                        && leaseMarginMilliseconds >= 0
                        && maximumHoldMilliseconds > 0
                        && maximumHoldMilliseconds < workerLeaseMilliseconds
                        && maximumPlacementsPerTick > 0
                        && maximumAttemptsPerTick > 0
                        && maximumStopsPerTick > 0
                        && runTimeWeight >= 0;
        if (!valid) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_SETTINGS,
                    "Job settings must be positive and the hold must be shorter than the lease;"
                            + " correct them.");
        }
    }

    /** Returns the default settings. */
    public static JobSettings defaults() {
        return builder().build();
    }

    /** Returns a builder that starts from the defaults. */
    public static JobSettingsBuilder builder() {
        return new JobSettingsBuilder();
    }

    /** Returns how long a worker may still run tasks after the last answer to it was sent. */
    long expiryMilliseconds() {
        return workerLeaseMilliseconds * (100 + clockDriftPercent) / 100 + leaseMarginMilliseconds;
    }
}
