package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.message.CellReply;

/**
 * Requests to be answered once a command is applied, by the subject of the command.
 *
 * @param <K> identifies the subject of a command
 */
final class PendingReplies<K> {
    private final Map<K, List<RequestHandle>> handles = new HashMap<>();

    boolean isPending(K key) {
        return handles.containsKey(key);
    }

    /** Returns whether a request is pending for any key that matches. */
    boolean isAnyPending(Predicate<K> matching) {
        return handles.keySet().stream().anyMatch(matching);
    }

    /** Adds a request; returns whether it is the first one pending for the key. */
    boolean add(K key, RequestHandle handle) {
        boolean first = !handles.containsKey(key);
        handles.computeIfAbsent(key, added -> new ArrayList<>()).add(handle);
        return first;
    }

    /** Answers all requests pending for the key. */
    void answer(K key, CellReply reply, LeaderOutput output) {
        List<RequestHandle> waiting = handles.remove(key);
        if (waiting != null) {
            waiting.forEach(handle -> output.reply(handle, reply));
        }
    }
}
