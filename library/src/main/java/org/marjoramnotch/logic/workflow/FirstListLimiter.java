package org.marjoramnotch.logic.workflow;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds how many workers a leader asks for their first list at once. It answers the change of
 * leader in a large fleet: with all new connections at once, the first answer would be handled
 * about when the last one is, and nothing starts anywhere meanwhile.
 */
final class FirstListLimiter {
    /** Enough to keep the processor of the leader busy while answers are on their way. */
    private static final int MAXIMUM_CONCURRENT = 16;

    /**
     * Several round trips between availability zones; a worker without answer holds up no other.
     */
    private static final long ANSWER_TIMEOUT_MILLISECONDS = 100;

    private final Map<WorkerSession, Long> sentAt = new LinkedHashMap<>();

    /** Tells whether one more worker may be asked now. */
    boolean mayAsk(long nowMilliseconds) {
        sentAt.values().removeIf(at -> nowMilliseconds - at >= ANSWER_TIMEOUT_MILLISECONDS);
        return sentAt.size() < MAXIMUM_CONCURRENT;
    }

    void onSent(WorkerSession session, long nowMilliseconds) {
        sentAt.put(session, nowMilliseconds);
    }

    /** Notes the outcome of a list; tells whether it was awaited as a first one. */
    boolean onOutcome(WorkerSession session) {
        return sentAt.remove(session) != null;
    }
}
