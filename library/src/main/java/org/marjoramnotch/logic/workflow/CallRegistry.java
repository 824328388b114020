package org.marjoramnotch.logic.workflow;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.order.WorkerCall;

/** Numbers calls to workers and finds what they were about when their outcome comes. */
final class CallRegistry {
    private static final int CALL_NUMBER_BITS = 32;

    /** Well above the timeout of every call. */
    private static final long OVERDUE_MILLISECONDS = 10_000;

    /**
     * A call without an outcome so far.
     *
     * @param call the call
     * @param session the session that made it
     * @param sentAt when it was handed out
     */
    record OpenCall(WorkerCall call, WorkerSession session, long sentAt) {}

    /** In the order of sending, so that the overdue ones come first. */
    private final Map<Long, OpenCall> open = new LinkedHashMap<>();

    private long lastId;

    /**
     * Creates a register.
     *
     * @param fencingToken keeps the numbers apart from those of earlier duties, whose outcomes may
     *     still come
     */
    CallRegistry(long fencingToken) {
        lastId = fencingToken << CALL_NUMBER_BITS;
    }

    long nextId() {
        lastId++;
        return lastId;
    }

    void send(long nowMilliseconds, WorkerSession session, WorkerCall call, LeaderOutput output) {
        open.put(call.id(), new OpenCall(call, session, nowMilliseconds));
        output.call(call);
    }

    /** Returns calls whose outcome was lost on its way; each counts as unanswered. */
    List<Long> overdue(long nowMilliseconds) {
        return open.entrySet().stream()
                .takeWhile(
                        entry ->
                                nowMilliseconds - entry.getValue().sentAt() >= OVERDUE_MILLISECONDS)
                .map(Map.Entry::getKey)
                .toList();
    }

    Optional<OpenCall> remove(long id) {
        return Optional.ofNullable(open.remove(id));
    }
}
