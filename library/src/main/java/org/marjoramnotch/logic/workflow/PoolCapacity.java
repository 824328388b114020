package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.List;
import org.marjoramnotch.model.resource.Resources;

/**
 * The usable workers of a pool in one round of decisions, by free processor time, so that a step
 * looks only at workers with room for it.
 */
final class PoolCapacity {
    private final List<WorkerCapacity> workers = new ArrayList<>();
    private boolean ordered;

    /** Adds a worker; the workers come by name. */
    void add(WorkerCapacity room) {
        workers.add(room);
        ordered = false;
    }

    int size() {
        return workers.size();
    }

    /** Returns the workers, those with the most free processor time first, then by name. */
    List<WorkerCapacity> mostFreeFirst() {
        if (!ordered) {
            workers.sort(PoolCapacity::compare);
            ordered = true;
        }
        return workers;
    }

    /** Takes room of a worker for a decided start. */
    void reserve(WorkerCapacity room, Resources more) {
        int index = mostFreeFirst().indexOf(room);
        room.reserve(more);
        while (index + 1 < workers.size() && compare(room, workers.get(index + 1)) > 0) {
            workers.set(index, workers.get(index + 1));
            index++;
        }
        workers.set(index, room);
    }

    /** Gives the room of a dropped start back. */
    void release(WorkerCapacity room, Resources less) {
        int index = mostFreeFirst().indexOf(room);
        room.release(less);
        while (index > 0 && compare(room, workers.get(index - 1)) < 0) {
            workers.set(index, workers.get(index - 1));
            index--;
        }
        workers.set(index, room);
    }

    private static int compare(WorkerCapacity one, WorkerCapacity other) {
        int byRoom = Long.compare(other.freeProcessorMillis(), one.freeProcessorMillis());
        return byRoom != 0 ? byRoom : Integer.compare(one.position(), other.position());
    }
}
