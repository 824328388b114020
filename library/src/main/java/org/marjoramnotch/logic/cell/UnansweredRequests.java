package org.marjoramnotch.logic.cell;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.marjoramnotch.logic.leader.RequestHandle;

/** The requests that have not been answered yet. */
final class UnansweredRequests {
    private final Set<RequestHandle> handles = new LinkedHashSet<>();

    void add(RequestHandle handle) {
        handles.add(handle);
    }

    /** Removes a request and returns whether it was unanswered. */
    boolean remove(RequestHandle handle) {
        return handles.remove(handle);
    }

    List<RequestHandle> removeAll() {
        List<RequestHandle> all = List.copyOf(handles);
        handles.clear();
        return all;
    }
}
