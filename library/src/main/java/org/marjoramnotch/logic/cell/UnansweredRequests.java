package org.marjoramnotch.logic.cell;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.marjoramnotch.logic.leader.RequestHandle;

/** The requests that have had no reply. */
final class UnansweredRequests {
    private final Set<RequestHandle> handles = new LinkedHashSet<>();

    void add(RequestHandle handle) {
        handles.add(handle);
    }

    /** Returns whether the request was awaited, and forgets it. */
    boolean remove(RequestHandle handle) {
        return handles.remove(handle);
    }

    List<RequestHandle> removeAll() {
        List<RequestHandle> all = List.copyOf(handles);
        handles.clear();
        return all;
    }
}
