package org.marjoramnotch.daemon.entry;

/**
 * Limits of an entry.
 *
 * @param maximumOpenRequests maximum number of concurrent quick requests
 * @param maximumOpenFeeds maximum number of concurrent feeds
 * @param maximumConnectionsPerEndpoint maximum number of connections to one endpoint for quick
 *     requests
 * @param maximumAnswerBytes maximum length of the body of an answer
 */
public record EntryLimits(
        int maximumOpenRequests,
        int maximumOpenFeeds,
        int maximumConnectionsPerEndpoint,
        long maximumAnswerBytes) {
    private static final int EVENTS_PER_REQUEST = 4;
    private static final int SPARE_EVENTS = 1024;

    /** Maximum number of unanswered reports of ended attempts; each causes one event. */
    static final int MAXIMUM_OPEN_REPORTS = 20_000;

    /** Returns the capacity of a queue that can hold all events that are pending at once. */
    public int ringCapacity() {
        return EVENTS_PER_REQUEST * (maximumOpenRequests + maximumOpenFeeds)
                + MAXIMUM_OPEN_REPORTS
                + SPARE_EVENTS;
    }
}
