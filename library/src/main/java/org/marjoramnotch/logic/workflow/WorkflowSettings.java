package org.marjoramnotch.logic.workflow;

import java.util.List;
import org.marjoramnotch.model.identifier.AvailabilityZone;

/**
 * Settings of the workflow duty.
 *
 * @param leaseMilliseconds how long runs continue without a renewal of the worker's lease
 * @param longestLeaseMilliseconds the longest lease that a worker accepts
 * @param listWaitMilliseconds how long a worker may delay its list until a run ends
 * @param orderRetryMilliseconds delay before an unanswered order is sent again
 * @param workerClockDriftPercent how much slower than real time a worker's clock may run
 * @param reportTimeoutMilliseconds time without contact after which a worker gets no new runs
 * @param retentionMilliseconds how long the state of an ended workflow is kept
 * @param drainMilliseconds how long a worker continues after its report that it drains is
 *     confirmed; 0 if this is not known
 * @param mostHeldBytes how many bytes all workflows may take in this process; 0 for no limit
 * @param feasibilityDelayMilliseconds how long a workflow must be infeasible before it fails
 * @param availabilityZones the availability zones of the workers; may be empty
 * @param preemption whether runs are stopped for urgent work of queues with priority 0
 * @param setsAside whether large work is served last if not all work can be in time, so that fewer
 *     workflows are late, but some of those set aside become worthless
 */
public record WorkflowSettings(
        long leaseMilliseconds,
        long longestLeaseMilliseconds,
        long listWaitMilliseconds,
        long orderRetryMilliseconds,
        int workerClockDriftPercent,
        long reportTimeoutMilliseconds,
        long retentionMilliseconds,
        long drainMilliseconds,
        long mostHeldBytes,
        long feasibilityDelayMilliseconds,
        List<AvailabilityZone> availabilityZones,
        boolean preemption,
        boolean setsAside) {
    private static final int PERCENT = 100;

    /** Allows for the resolution of both clocks. */
    private static final long EXPIRY_MARGIN_MILLISECONDS = 50;

    /** Creates immutable settings by copying the list. */
    public WorkflowSettings {
        availabilityZones = List.copyOf(availabilityZones);
    }

    /** Returns the time after which a lease is over on the slowest clock of a worker. */
    long outlasting(long lease) {
        return lease * PERCENT / (PERCENT - workerClockDriftPercent) + EXPIRY_MARGIN_MILLISECONDS;
    }

    /** Returns the default settings. */
    public static WorkflowSettings defaults() {
        return builder().build();
    }

    /** Returns a builder that starts from the default settings. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds settings. */
    public static final class Builder {
        // Outlasts an election of 2 s and the first call of the new leader.
        private long leaseMilliseconds = 5_000;
        private long longestLeaseMilliseconds = 10_000;
        // The longest wait that workers allow.
        private long listWaitMilliseconds = 2_000;
        private long orderRetryMilliseconds = 50;
        private int workerClockDriftPercent = 2;
        // Two missed reports; workers report every 1.5 s.
        private long reportTimeoutMilliseconds = 3_500;
        private long retentionMilliseconds = 130_000;
        private long drainMilliseconds;
        private long mostHeldBytes;
        // Workers report every 1.5 s; all workers of a new fleet are known after two reports.
        private long feasibilityDelayMilliseconds = 3_000;
        private List<AvailabilityZone> availabilityZones = List.of();
        private boolean preemption = true;
        private boolean setsAside;

        private Builder() {}

        /** Sets how long runs continue without a renewal of the worker's lease. */
        public Builder leaseMilliseconds(long value) {
            leaseMilliseconds = value;
            return this;
        }

        /** Sets the longest lease that a worker accepts. */
        public Builder longestLeaseMilliseconds(long value) {
            longestLeaseMilliseconds = value;
            return this;
        }

        /** Sets the time without contact after which a worker gets no new runs. */
        public Builder reportTimeoutMilliseconds(long value) {
            reportTimeoutMilliseconds = value;
            return this;
        }

        /** Sets how long the state of an ended workflow is kept. */
        public Builder retentionMilliseconds(long value) {
            retentionMilliseconds = value;
            return this;
        }

        /** Sets how long a worker continues after its report that it drains is confirmed. */
        public Builder drainMilliseconds(long value) {
            drainMilliseconds = value;
            return this;
        }

        /** Sets how many bytes all workflows may take in this process. */
        public Builder mostHeldBytes(long value) {
            mostHeldBytes = value;
            return this;
        }

        /** Sets the availability zones of the workers. */
        public Builder availabilityZones(List<AvailabilityZone> value) {
            availabilityZones = value;
            return this;
        }

        /** Sets whether runs are stopped for urgent work of queues with priority 0. */
        public Builder preemption(boolean value) {
            preemption = value;
            return this;
        }

        /** Sets whether large work is served last if not all work can be in time. */
        public Builder setsAside(boolean value) {
            setsAside = value;
            return this;
        }

        /** Returns the settings. */
        public WorkflowSettings build() {
            return new WorkflowSettings(
                    leaseMilliseconds,
                    longestLeaseMilliseconds,
                    listWaitMilliseconds,
                    orderRetryMilliseconds,
                    workerClockDriftPercent,
                    reportTimeoutMilliseconds,
                    retentionMilliseconds,
                    drainMilliseconds,
                    mostHeldBytes,
                    feasibilityDelayMilliseconds,
                    availabilityZones,
                    preemption,
                    setsAside);
        }
    }
}
