package org.marjoramnotch.daemon.entry;

/**
 * Bounds of an entry.
 *
 * @param maximumOpenRequests most quick requests at once
 * @param maximumOpenFeeds most feeds at once
 * @param maximumConnectionsPerEndpoint most connections for quick requests to one endpoint
 * @param maximumAnswerBytes longest body of an answer
 */
public record EntryLimits(
        int maximumOpenRequests,
        int maximumOpenFeeds,
        int maximumConnectionsPerEndpoint,
        long maximumAnswerBytes) {
    private static final int EVENTS_PER_REQUEST = 4;
    private static final int SPARE_EVENTS = 1024;

    /** Most ends of attempts that wait for the leader's answer; each leads to one event. */
    static final int MAXIMUM_OPEN_REPORTS = 20_000;

    /** Returns the length of a ring that holds all events that there can be at once. */
    public int ringCapacity() {
        return EVENTS_PER_REQUEST * (maximumOpenRequests + maximumOpenFeeds)
                + MAXIMUM_OPEN_REPORTS
                + SPARE_EVENTS;
    }
}
