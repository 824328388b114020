package org.marjoramnotch.logic.workflow;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits how many workers a new leader asks for their first list concurrently. If the leader of a
 * large fleet opened all connections at once, it would handle the first answer at about the same
 * time as the last one, and no run could start until then.
 */
final class FirstListLimiter {
    /** Enough to keep the processor of the leader busy while answers are in transit. */
    private static final int MAXIMUM_CONCURRENT = 16;

    /**
     * Several round trips between availability zones; after this time, an unresponsive worker no
     * longer delays others.
     */
    private static final long ANSWER_TIMEOUT_MILLISECONDS = 100;

    private final Map<WorkerSession, Long> sentAt = new LinkedHashMap<>();

    /** Returns whether one more worker may be asked now. */
    boolean mayAsk(long nowMilliseconds) {
        sentAt.values().removeIf(at -> nowMilliseconds - at >= ANSWER_TIMEOUT_MILLISECONDS);
        return sentAt.size() < MAXIMUM_CONCURRENT;
    }

    void onSent(WorkerSession session, long nowMilliseconds) {
        sentAt.put(session, nowMilliseconds);
    }

    /**
     * Handles the outcome of a list call; returns whether it was a first list that was still
     * awaited.
     */
    boolean onOutcome(WorkerSession session) {
        return sentAt.remove(session) != null;
    }
}
