package org.marjoramnotch.logic.placement;

/**
 * Settings of a leader's placement decisions.
 *
 * @param endpointLeaseMilliseconds an endpoint gets no new work this long after its last renewal
 * @param endpointRemovalMilliseconds an endpoint without attempts is forgotten this long after its
 *     lease ran out
 * @param entryLeaseMilliseconds attempts of an entry are orphaned this long after its last renewal
 * @param startWithinMilliseconds a grant may be used this long after its receipt
 * @param queueCapacity most requests of a team that wait for one service
 * @param maximumEndedClaims idempotency claims of ended requests that are kept
 */
public record PlacementSettings(
        long endpointLeaseMilliseconds,
        long endpointRemovalMilliseconds,
        long entryLeaseMilliseconds,
        long startWithinMilliseconds,
        int queueCapacity,
        int maximumEndedClaims) {
    /** Returns a builder that starts from the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the defaults. */
    public static PlacementSettings defaults() {
        return builder().build();
    }

    /** Builds settings. */
    public static final class Builder {
        private long endpointLeaseMilliseconds = 3_000;
        private long endpointRemovalMilliseconds = 60_000;
        private long entryLeaseMilliseconds = 5_000;
        private long startWithinMilliseconds = 1_000;
        private int queueCapacity = 4_096;
        private int maximumEndedClaims = 65_536;

        private Builder() {}

        /** Sets how long an endpoint gets new work after its last renewal. */
        public Builder endpointLeaseMilliseconds(long value) {
            endpointLeaseMilliseconds = value;
            return this;
        }

        /** Sets how long after its lease an endpoint is forgotten. */
        public Builder endpointRemovalMilliseconds(long value) {
            endpointRemovalMilliseconds = value;
            return this;
        }

        /** Sets how long after its last renewal the attempts of an entry are orphaned. */
        public Builder entryLeaseMilliseconds(long value) {
            entryLeaseMilliseconds = value;
            return this;
        }

        /** Sets how long after its receipt a grant may be used. */
        public Builder startWithinMilliseconds(long value) {
            startWithinMilliseconds = value;
            return this;
        }

        /** Sets how many requests of a team may wait for one service. */
        public Builder queueCapacity(int value) {
            queueCapacity = value;
            return this;
        }

        /** Sets how many idempotency claims of ended requests are kept. */
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
