package org.marjoramnotch.daemon.settings;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;

/**
 * Limits and intervals of a daemon. All of them have defaults.
 *
 * @param maximumBodyBytes maximum size of a request body from a caller
 * @param maximumOpenRequests maximum number of quick requests and job calls that this entry handles
 *     at once
 * @param maximumFeeds maximum number of feeds that this entry handles at once
 * @param electionTimeoutMinimumMilliseconds minimum time without contact from a leader after which
 *     an election starts
 * @param electionTimeoutMaximumMilliseconds maximum time without contact from a leader after which
 *     an election starts
 * @param heartbeatIntervalMilliseconds interval of the leader's heartbeats
 * @param linkDeadlineMilliseconds time without traffic after which a link between daemons is
 *     replaced
 * @param endpointConnectionsPerEntry maximum number of connections of this entry to one endpoint
 * @param queueCapacity capacity of the bounded queue of each duty thread, in messages
 * @param snapshotEveryEntries number of log entries between two snapshots
 * @param stopMilliseconds maximum time that a shutdown waits for open work
 * @param graceSeconds time after which a process that was asked to stop is killed
 * @param clientMemoryBytes maximum memory for what clients have sent and not read; 0 for three
 *     eighths of the smaller of heap and direct memory
 * @param connectionMemoryBytes the same for one connection; 0 for three quarters of that
 * @param maximumHeaderLines maximum number of lines in the head of a request
 * @param maximumEmptyLines maximum number of empty lines before a request
 * @param headTimeoutMilliseconds maximum time from the first byte of a head to its end
 * @param connectionsPerAddress maximum number of connections from one address; 0 for any number
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
        int stopMilliseconds,
        double graceSeconds,
        long clientMemoryBytes,
        long connectionMemoryBytes,
        int maximumHeaderLines,
        int maximumEmptyLines,
        int headTimeoutMilliseconds,
        int connectionsPerAddress) {

    /** Returns the limits that apply if a settings file does not set them. */
    public static DaemonLimits defaults() {
        return new Builder().build();
    }

    /** Returns a builder that starts from the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds limits; those that are not set keep their defaults. */
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
        private double graceSeconds = 45;
        private long clientMemoryBytes;
        private long connectionMemoryBytes;

        /** The most that fit into a head of 16,384 bytes, with four bytes each. */
        private int maximumHeaderLines = 4_096;

        /** Some clients send an empty line after a body; none is known to send several. */
        private int maximumEmptyLines = 128;

        /** Twice the time that the platform allows, so that a pause of this process counts less. */
        private int headTimeoutMilliseconds = 6_000;

        private int connectionsPerAddress;

        private Builder() {}

        /** Sets the maximum size of a request body. */
        public Builder maximumBodyBytes(int value) {
            maximumBodyBytes = value;
            return this;
        }

        /** Sets the maximum number of quick requests and job calls at once. */
        public Builder maximumOpenRequests(int value) {
            maximumOpenRequests = value;
            return this;
        }

        /** Sets the maximum number of feeds at once. */
        public Builder maximumFeeds(int value) {
            maximumFeeds = value;
            return this;
        }

        /** Sets the minimum time without contact from a leader before an election. */
        public Builder electionTimeoutMinimumMilliseconds(int value) {
            electionTimeoutMinimumMilliseconds = value;
            return this;
        }

        /** Sets the maximum time without contact from a leader before an election. */
        public Builder electionTimeoutMaximumMilliseconds(int value) {
            electionTimeoutMaximumMilliseconds = value;
            return this;
        }

        /** Sets the interval of the leader's heartbeats. */
        public Builder heartbeatIntervalMilliseconds(int value) {
            heartbeatIntervalMilliseconds = value;
            return this;
        }

        /** Sets the time without traffic after which a link is replaced. */
        public Builder linkDeadlineMilliseconds(int value) {
            linkDeadlineMilliseconds = value;
            return this;
        }

        /** Sets the maximum number of connections to one endpoint. */
        public Builder endpointConnectionsPerEntry(int value) {
            endpointConnectionsPerEntry = value;
            return this;
        }

        /** Sets the capacity of the queue of each duty thread. */
        public Builder queueCapacity(int value) {
            queueCapacity = value;
            return this;
        }

        /** Sets the number of log entries between two snapshots. */
        public Builder snapshotEveryEntries(int value) {
            snapshotEveryEntries = value;
            return this;
        }

        /** Sets the maximum time that a shutdown waits for open work. */
        public Builder stopMilliseconds(int value) {
            stopMilliseconds = value;
            return this;
        }

        /** Sets the time after which a process that was asked to stop is killed. */
        public Builder graceSeconds(double value) {
            graceSeconds = value;
            return this;
        }

        /** Sets the maximum memory for clients. */
        public Builder clientMemoryBytes(long value) {
            clientMemoryBytes = value;
            return this;
        }

        /** Sets the maximum memory for one connection. */
        public Builder connectionMemoryBytes(long value) {
            connectionMemoryBytes = value;
            return this;
        }

        /** Sets the maximum number of lines in a head. */
        public Builder maximumHeaderLines(int value) {
            maximumHeaderLines = value;
            return this;
        }

        /** Sets the maximum number of empty lines before a request. */
        public Builder maximumEmptyLines(int value) {
            maximumEmptyLines = value;
            return this;
        }

        /** Sets the maximum time from the first byte of a head to its end. */
        public Builder headTimeoutMilliseconds(int value) {
            headTimeoutMilliseconds = value;
            return this;
        }

        /** Sets the maximum number of connections from one address. */
        public Builder connectionsPerAddress(int value) {
            connectionsPerAddress = value;
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
                    stopMilliseconds,
                    graceSeconds,
                    clientMemoryBytes,
                    connectionMemoryBytes,
                    maximumHeaderLines,
                    maximumEmptyLines,
                    headTimeoutMilliseconds,
                    connectionsPerAddress);
        }
    }
}
