package org.marjoramnotch.logic.job;

import java.util.List;

/** Keeps workers for one job; others may use them only if they are expected to end before. */
final class CapacityReservation {
    final QueuedJob owner;
    final long startMilliseconds;

    /** Since when the job waited; another value shows that it got a worker meanwhile. */
    final long waitingSinceMilliseconds;

    private final List<WorkerSession> workers;

    private CapacityReservation(
            QueuedJob owner, long startMilliseconds, List<WorkerSession> workers) {
        this.owner = owner;
        this.startMilliseconds = startMilliseconds;
        this.workers = workers;
        this.waitingSinceMilliseconds = owner.waitingSinceMilliseconds;
    }

    /** Keeps those workers that are not kept for another job. */
    static CapacityReservation reserve(
            QueuedJob owner, long startMilliseconds, List<WorkerSession> workers) {
        List<WorkerSession> unkept =
                workers.stream().filter(worker -> worker.reservation == null).toList();
        CapacityReservation reservation = new CapacityReservation(owner, startMilliseconds, unkept);
        owner.hasReservation = true;
        unkept.forEach(worker -> worker.reservation = reservation);
        return reservation;
    }

    void release() {
        for (WorkerSession worker : workers) {
            if (worker.reservation == this) {
                worker.reservation = null;
            }
        }
    }

    /** Tells whether all workers that are kept still take work. */
    boolean isIntact() {
        return workers.stream().allMatch(worker -> worker.slot >= 0);
    }
}
