package org.marjoramnotch.daemon.settings;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;

/**
 * Bounds and intervals of a daemon; all have defaults.
 *
 * @param maximumBodyBytes longest request body taken from a caller
 * @param maximumOpenRequests most quick requests and job calls held at once by this entry
 * @param maximumFeeds most feeds held at once by this entry
 * @param electionTimeoutMinimumMilliseconds shortest silence of the leader before an election
 * @param electionTimeoutMaximumMilliseconds longest silence of the leader before an election
 * @param heartbeatIntervalMilliseconds interval of the leader's heartbeats
 * @param linkDeadlineMilliseconds silence after which a link between daemons is replaced
 * @param endpointConnectionsPerEntry most connections of this entry to one endpoint
 * @param queueCapacity length of the bounded queue of each duty thread, in messages
 * @param snapshotEveryEntries entries of the log between two snapshots
 * @param stopMilliseconds longest time that a stop waits for open work
 */
@JsonDeserialize(builder = DaemonLimits.Builder.class)
public record DaemonLimits(
        int maximumBodyBytes,
        int maximumOpenRequests,
        int maximumFeeds,
        int electionTimeoutMinimumMilliseconds,
        int electionTimeoutMaximumMilliseconds,
        int heartbeatIntervalMilliseconds,
        int linkDeadlineMilliseconds,
        int endpointConnectionsPerEntry,
        int queueCapacity,
        int snapshotEveryEntries,
        int stopMilliseconds) {

    /** Returns the limits that hold where a settings file names none. */
    public static DaemonLimits defaults() {
        return new Builder().build();
    }

    /** Returns a builder that starts from the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects limits; what is not set keeps its default. */
    @JsonPOJOBuilder(withPrefix = "")
    public static final class Builder {
        private int maximumBodyBytes = 8 * 1024 * 1024;
        private int maximumOpenRequests = 10_000;
        private int maximumFeeds = 2_000;
        private int electionTimeoutMinimumMilliseconds = 1_000;
        private int electionTimeoutMaximumMilliseconds = 2_000;
        private int heartbeatIntervalMilliseconds = 250;
        private int linkDeadlineMilliseconds = 1_500;
        private int endpointConnectionsPerEntry = 8;
        private int queueCapacity = 10_000;
        private int snapshotEveryEntries = 20_000;
        private int stopMilliseconds = 30_000;

        private Builder() {}

        /** Sets the longest request body. */
        public Builder maximumBodyBytes(int value) {
            maximumBodyBytes = value;
            return this;
        }

        /** Sets the most quick requests and job calls held at once. */
        public Builder maximumOpenRequests(int value) {
            maximumOpenRequests = value;
            return this;
        }

        /** Sets the most feeds held at once. */
        public Builder maximumFeeds(int value) {
            maximumFeeds = value;
            return this;
        }

        /** Sets the shortest silence of the leader before an election. */
        public Builder electionTimeoutMinimumMilliseconds(int value) {
            electionTimeoutMinimumMilliseconds = value;
            return this;
        }

        /** Sets the longest silence of the leader before an election. */
        public Builder electionTimeoutMaximumMilliseconds(int value) {
            electionTimeoutMaximumMilliseconds = value;
            return this;
        }

        /** Sets the interval of the leader's heartbeats. */
        public Builder heartbeatIntervalMilliseconds(int value) {
            heartbeatIntervalMilliseconds = value;
            return this;
        }

        /** Sets the silence after which a link is replaced. */
        public Builder linkDeadlineMilliseconds(int value) {
            linkDeadlineMilliseconds = value;
            return this;
        }

        /** Sets the most connections to one endpoint. */
        public Builder endpointConnectionsPerEntry(int value) {
            endpointConnectionsPerEntry = value;
            return this;
        }

        /** Sets the length of each duty thread's queue. */
        public Builder queueCapacity(int value) {
            queueCapacity = value;
            return this;
        }

        /** Sets the entries between two snapshots. */
        public Builder snapshotEveryEntries(int value) {
            snapshotEveryEntries = value;
            return this;
        }

        /** Sets the longest time that a stop waits for open work. */
        public Builder stopMilliseconds(int value) {
            stopMilliseconds = value;
            return this;
        }

        /** Returns the limits. */
        public DaemonLimits build() {
            return new DaemonLimits(
                    maximumBodyBytes,
                    maximumOpenRequests,
                    maximumFeeds,
                    electionTimeoutMinimumMilliseconds,
                    electionTimeoutMaximumMilliseconds,
                    heartbeatIntervalMilliseconds,
                    linkDeadlineMilliseconds,
                    endpointConnectionsPerEntry,
                    queueCapacity,
                    snapshotEveryEntries,
                    stopMilliseconds);
        }
    }
}
