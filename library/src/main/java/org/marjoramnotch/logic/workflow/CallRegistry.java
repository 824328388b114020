package org.marjoramnotch.logic.workflow;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.order.WorkerCall;

/** Numbers calls to workers and finds the call that an outcome belongs to. */
final class CallRegistry {
    private static final int CALL_NUMBER_BITS = 32;

    /**
     * Age at which the outcome of a call is considered lost; well above the timeout of every call.
     */
    private static final long OVERDUE_MILLISECONDS = 10_000;

    /**
     * A call whose outcome has not arrived yet.
     *
     * @param call the call
     * @param session the session that made it
     * @param sentAt when it was sent, in milliseconds
     */
    record OpenCall(WorkerCall call, WorkerSession session, long sentAt) {}

    /** In the order of sending, so that overdue calls come first. */
    private final Map<Long, OpenCall> openCalls = new LinkedHashMap<>();

    private long lastId;

    /**
     * Creates a registry for one term of leadership.
     *
     * @param fencingToken keeps call numbers distinct from those of earlier duties, whose outcomes
     *     may still arrive
     */
    CallRegistry(long fencingToken) {
        lastId = fencingToken << CALL_NUMBER_BITS;
    }

    long nextId() {
        lastId++;
        return lastId;
    }

    /** Returns the number of the last call; all later calls have higher numbers. */
    long lastId() {
        return lastId;
    }

    void send(long nowMilliseconds, WorkerSession session, WorkerCall call, LeaderOutput output) {
        openCalls.put(call.id(), new OpenCall(call, session, nowMilliseconds));
        output.call(call);
    }

    /** Returns the numbers of calls whose outcome was lost; each counts as unanswered. */
    List<Long> overdue(long nowMilliseconds) {
        return openCalls.entrySet().stream()
                .takeWhile(
                        entry ->
                                nowMilliseconds - entry.getValue().sentAt() >= OVERDUE_MILLISECONDS)
                .map(Map.Entry::getKey)
                .toList();
    }

    Optional<OpenCall> remove(long id) {
        return Optional.ofNullable(openCalls.remove(id));
    }
}
