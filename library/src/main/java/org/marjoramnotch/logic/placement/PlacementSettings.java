package org.marjoramnotch.logic.placement;

/**
 * Settings of a leader's placement decisions.
 *
 * @param endpointLeaseMilliseconds time after its last renewal for which an endpoint receives new
 *     work
 * @param endpointRemovalMilliseconds time after the expiry of its lease after which an endpoint
 *     without attempts is removed
 * @param entryLeaseMilliseconds time after the last renewal of an entry after which its attempts
 *     are orphaned
 * @param startWithinMilliseconds time after the receipt of a grant within which it may be used
 * @param queueCapacity maximum number of requests of a team that wait for one service
 * @param maximumEndedClaims maximum number of idempotency claims of ended requests that are kept
 */
public record PlacementSettings(
        long endpointLeaseMilliseconds,
        long endpointRemovalMilliseconds,
        long entryLeaseMilliseconds,
        long startWithinMilliseconds,
        int queueCapacity,
        int maximumEndedClaims) {
    /** Returns a builder that starts with the default settings. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the default settings. */
    public static PlacementSettings defaults() {
        return builder().build();
    }

    /** Builder of {@link PlacementSettings}. */
    public static final class Builder {
        private long endpointLeaseMilliseconds = 3_000;
        private long endpointRemovalMilliseconds = 60_000;
        private long entryLeaseMilliseconds = 5_000;
        private long startWithinMilliseconds = 1_000;
        private int queueCapacity = 4_096;
        private int maximumEndedClaims = 65_536;

        private Builder() {}

        /** Sets the time after its last renewal for which an endpoint receives new work. */
        public Builder endpointLeaseMilliseconds(long value) {
            endpointLeaseMilliseconds = value;
            return this;
        }

        /**
         * Sets the time after the expiry of its lease after which an endpoint without attempts is
         * removed.
         */
        public Builder endpointRemovalMilliseconds(long value) {
            endpointRemovalMilliseconds = value;
            return this;
        }

        /**
         * Sets the time after the last renewal of an entry after which its attempts are orphaned.
         */
        public Builder entryLeaseMilliseconds(long value) {
            entryLeaseMilliseconds = value;
            return this;
        }

        /** Sets the time after the receipt of a grant within which it may be used. */
        public Builder startWithinMilliseconds(long value) {
            startWithinMilliseconds = value;
            return this;
        }

        /** Sets the maximum number of requests of a team that wait for one service. */
        public Builder queueCapacity(int value) {
            queueCapacity = value;
            return this;
        }

        /** Sets the maximum number of idempotency claims of ended requests that are kept. */
        public Builder maximumEndedClaims(int value) {
            maximumEndedClaims = value;
            return this;
        }

        /** Builds the settings. */
        public PlacementSettings build() {
            return new PlacementSettings(
                    endpointLeaseMilliseconds,
                    endpointRemovalMilliseconds,
                    entryLeaseMilliseconds,
                    startWithinMilliseconds,
                    queueCapacity,
                    maximumEndedClaims);
        }
    }
}
