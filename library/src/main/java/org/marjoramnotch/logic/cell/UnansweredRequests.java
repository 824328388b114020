package org.marjoramnotch.logic.cell;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.leader.RequestHandle;

/** The requests that have not been answered yet. */
final class UnansweredRequests {
    private final Map<RequestHandle, Boolean> answeredFromState = new LinkedHashMap<>();

    /** Adds a request, which may be answered from the committed state without a commit. */
    void add(RequestHandle handle, boolean isAnsweredFromState) {
        answeredFromState.put(handle, isAnsweredFromState);
    }

    /**
     * Removes a request and returns whether it is answered from the state; empty if it was answered
     * before.
     */
    Optional<Boolean> remove(RequestHandle handle) {
        return Optional.ofNullable(answeredFromState.remove(handle));
    }

    List<RequestHandle> removeAll() {
        List<RequestHandle> all = List.copyOf(answeredFromState.keySet());
        answeredFromState.clear();
        return all;
    }
}
