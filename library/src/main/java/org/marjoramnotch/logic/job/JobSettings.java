package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/**
 * Settings of the leader's decisions on jobs.
 *
 * @param order the order in which waiting jobs are looked at
 * @param workerLeaseMilliseconds how long a worker may run after it sent a renewal
 * @param clockDriftPercent how much slower than this clock a worker's may run
 * @param leaseMarginMilliseconds waited in addition before a lease counts as run out
 * @param maximumHoldMilliseconds longest time to hold a renewal without orders
 * @param maximumPlacementsPerTick runs proposed in one tick
 * @param maximumAttemptsPerTick placements tried in one tick
 * @param maximumStopsPerTick runs of stopped jobs handled in one tick
 * @param maximumQueuedTasks waiting tasks above which jobs are refused
 * @param preemptionDelayMilliseconds how long urgent work waits before other runs are stopped
 * @param reservationDelayMilliseconds how long a task that does not fit waits before a worker is
 *     kept for it
 * @param quarantineMilliseconds time before the first probe of a quarantined worker
 * @param runTimeWeight how much of its learned run time counts as later arrival of a job, from 0
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
    /** Refuses settings that cannot work. */
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
                    "Job settings are positive and a hold is shorter than a lease; correct them.");
        }
    }

    /** Returns the settings that are used when none are given. */
    public static JobSettings defaults() {
        return builder().build();
    }

    /** Returns a builder that starts from the defaults. */
    public static JobSettingsBuilder builder() {
        return new JobSettingsBuilder();
    }

    /** Returns how long after its last answer a worker may still run anything. */
    long expiryMilliseconds() {
        return workerLeaseMilliseconds * (100 + clockDriftPercent) / 100 + leaseMarginMilliseconds;
    }
}
