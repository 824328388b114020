package org.marjoramnotch.logic.workflow;

/**
 * Intervals of the decisions about workflows.
 *
 * @param leaseMilliseconds how long runs go on without a renewal
 * @param listWaitMilliseconds how long a worker may hold its list until a run ends
 * @param orderRetryMilliseconds pause before an order without answer is sent again
 * @param workerClockDriftPercent how much slower than true a worker's clock may run
 * @param reportTimeoutMilliseconds silence after which a worker gets no more work
 * @param retentionMilliseconds how long the state of an ended workflow is kept
 * @param feasibilityDelayMilliseconds how long a workflow must fit no worker before it is given up
 */
public record WorkflowSettings(
        long leaseMilliseconds,
        long listWaitMilliseconds,
        long orderRetryMilliseconds,
        int workerClockDriftPercent,
        long reportTimeoutMilliseconds,
        long retentionMilliseconds,
        long feasibilityDelayMilliseconds) {
    /** Returns the usual values. */
    public static WorkflowSettings defaults() {
        return builder().build();
    }

    /** Starts from the usual values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects settings. */
    public static final class Builder {
        // Outlasts an election of 2 s and the first contact of the new leader.
        private long leaseMilliseconds = 5_000;
        // The longest wait that workers grant.
        private long listWaitMilliseconds = 2_000;
        private long orderRetryMilliseconds = 50;
        private int workerClockDriftPercent = 2;
        // Two missed reports of 1.5 s.
        private long reportTimeoutMilliseconds = 3_500;
        private long retentionMilliseconds = 130_000;
        // Workers report every 1.5 s; a new fleet is known after two reports.
        private long feasibilityDelayMilliseconds = 3_000;

        private Builder() {}

        /** Sets the lease of runs. */
        public Builder leaseMilliseconds(long value) {
            leaseMilliseconds = value;
            return this;
        }

        /** Sets the silence after which a worker gets no more work. */
        public Builder reportTimeoutMilliseconds(long value) {
            reportTimeoutMilliseconds = value;
            return this;
        }

        /** Sets how long the state of an ended workflow is kept. */
        public Builder retentionMilliseconds(long value) {
            retentionMilliseconds = value;
            return this;
        }

        /** Returns the settings. */
        public WorkflowSettings build() {
            return new WorkflowSettings(
                    leaseMilliseconds,
                    listWaitMilliseconds,
                    orderRetryMilliseconds,
                    workerClockDriftPercent,
                    reportTimeoutMilliseconds,
                    retentionMilliseconds,
                    feasibilityDelayMilliseconds);
        }
    }
}
