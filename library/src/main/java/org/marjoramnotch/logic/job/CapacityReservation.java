package org.marjoramnotch.logic.job;

import java.util.List;

/**
 * Reserves workers for one job. Other jobs may use them only if they are expected to end before the
 * reservation starts.
 */
final class CapacityReservation {
    final QueuedJob owner;
    final long startMilliseconds;

    /**
     * The value of {@link QueuedJob#waitingSinceMilliseconds} of the owner when the reservation was
     * made. A different value means that the owner has got a worker since.
     */
    final long waitingSinceMilliseconds;

    private final List<WorkerSession> workers;

    private CapacityReservation(
            QueuedJob owner, long startMilliseconds, List<WorkerSession> workers) {
        this.owner = owner;
        this.startMilliseconds = startMilliseconds;
        this.workers = workers;
        this.waitingSinceMilliseconds = owner.waitingSinceMilliseconds;
    }

    /** Reserves those of the workers that are not reserved for another job. */
    static CapacityReservation reserve(
            QueuedJob owner, long startMilliseconds, List<WorkerSession> workers) {
        List<WorkerSession> unreserved =
                workers.stream().filter(worker -> worker.reservation == null).toList();
        CapacityReservation reservation =
                new CapacityReservation(owner, startMilliseconds, unreserved);
        owner.hadReservation = true;
        unreserved.forEach(worker -> worker.reservation = reservation);
        return reservation;
    }

    void release() {
        for (WorkerSession worker : workers) {
            if (worker.reservation == this) {
                worker.reservation = null;
            }
        }
    }

    /** Returns whether all reserved workers still accept work. */
    boolean isIntact() {
        return workers.stream().allMatch(worker -> worker.slot >= 0);
    }
}
