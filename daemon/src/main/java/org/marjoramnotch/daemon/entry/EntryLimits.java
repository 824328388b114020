package org.marjoramnotch.daemon.entry;

/**
 * Bounds of an entry.
 *
 * @param openRequests most quick requests at once
 * @param openFeeds most feeds at once
 * @param connectionsPerEndpoint most connections for quick requests to one endpoint
 * @param longestAnswerBytes longest body of an answer
 */
public record EntryLimits(
        int openRequests, int openFeeds, int connectionsPerEndpoint, long longestAnswerBytes) {
    private static final int EVENTS_PER_REQUEST = 4;
    private static final int SPARE_EVENTS = 1024;

    /** Most ends of attempts that wait for the leader's answer; each leads to one event. */
    static final int OPEN_REPORTS = 20_000;

    /** Returns the length of a ring that holds all events that there can be at once. */
    public int ringCapacity() {
        return EVENTS_PER_REQUEST * (openRequests + openFeeds) + OPEN_REPORTS + SPARE_EVENTS;
    }
}
