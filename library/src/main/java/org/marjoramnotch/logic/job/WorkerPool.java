package org.marjoramnotch.logic.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;

/** The sessions of all registered workers, and the free capacity of those that accept work. */
final class WorkerPool {
    private final Map<WorkerId, WorkerSession> sessions = new HashMap<>();
    private final Map<Resources, Integer> capacities = new HashMap<>();
    private final FreeCapacity free = new FreeCapacity();
    private Resources total = Resources.NONE;

    void add(WorkerSession session) {
        sessions.put(session.id(), session);
        capacities.merge(session.capacity(), 1, Integer::sum);
        total = total.plus(session.capacity());
    }

    void remove(WorkerSession session) {
        sessions.remove(session.id());
        capacities.computeIfPresent(
                session.capacity(), (capacity, count) -> count == 1 ? null : count - 1);
        total = total.minus(session.capacity());
        free.remove(session);
    }

    Optional<WorkerSession> find(WorkerId id) {
        return Optional.ofNullable(sessions.get(id));
    }

    /**
     * Updates the index of free capacity after a worker changed. A worker that does not accept work
     * is removed from the index.
     */
    void onWorkerChanged(WorkerSession session) {
        if (session.acceptsWork() && sessions.get(session.id()) == session) {
            free.put(session);
        } else {
            free.remove(session);
        }
    }

    FreeCapacity free() {
        return free;
    }

    /** Returns the capacity of all registered workers together. */
    Resources total() {
        return total;
    }

    /** Returns how much of the capacity of all workers is in use. */
    ResourceUtilization utilization() {
        Resources unused =
                sessions.values().stream()
                        .map(session -> session.entry.free())
                        .reduce(Resources.NONE, Resources::plus);
        return new ResourceUtilization(total.minus(unused), total);
    }

    /** Returns the number of workers by capacity. */
    Map<Resources, Integer> capacities() {
        return capacities;
    }
}
