package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reserves workers for the oldest jobs that do not fit, for a small number of jobs at a time. A job
 * holds no resources before it starts, so that two jobs cannot wait for each other in a deadlock.
 */
final class Reservations {
    private static final int MINIMUM_CANDIDATES = 32;
    private static final long RETRY_MILLISECONDS = 2_000;
    private static final Comparator<CapacityReservation> BY_AGE =
            Comparator.comparing(reservation -> reservation.owner);

    private final int maximumReservations;
    private final WorkerPool pool;
    private final RunTimeEstimates runTimes;
    private final List<CapacityReservation> current = new ArrayList<>();
    private final Map<QueuedJob, Long> lastAttemptMilliseconds = new HashMap<>();

    Reservations(int maximumReservations, WorkerPool pool, RunTimeEstimates runTimes) {
        this.maximumReservations = maximumReservations;
        this.pool = pool;
        this.runTimes = runTimes;
    }

    /**
     * Handles a job of which the given number of tasks does not fit now although its team is below
     * its limit.
     */
    void onBlocked(QueuedJob job, int tasks, long nowMilliseconds) {
        if (!isAmongOldest(job) || isRecentlyAttempted(job, nowMilliseconds)) {
            return;
        }
        List<WorkerSession> candidates =
                pool.free().sample(Math.max(MINIMUM_CANDIDATES, 4 * tasks));
        candidates.removeIf(worker -> worker.reservation != null);
        new DrainForecast(runTimes, nowMilliseconds)
                .forecast(candidates, job.job.perTask(), tasks)
                .ifPresent(drained -> reserve(job, drained));
    }

    /**
     * Releases the reservations whose job has started or no longer waits, or of which a worker no
     * longer accepts work.
     */
    void releaseObsolete() {
        if (!current.isEmpty()) {
            current.removeIf(Reservations::releaseIfObsolete);
        }
    }

    /** Releases the reservation of a job whose team has reached its limit. */
    void release(QueuedJob job) {
        for (CapacityReservation reservation : current) {
            if (reservation.owner == job) {
                reservation.release();
                current.remove(reservation);
                return;
            }
        }
    }

    private boolean isAmongOldest(QueuedJob job) {
        boolean hasReservation = current.stream().anyMatch(reservation -> reservation.owner == job);
        if (hasReservation || current.size() < maximumReservations) {
            return !hasReservation;
        }
        CapacityReservation youngest = current.stream().max(BY_AGE).orElseThrow();
        return job.compareTo(youngest.owner) < 0;
    }

    /**
     * Returns whether a reservation for the job was attempted recently. This limits how often the
     * runs of many workers are scanned for the same job.
     */
    private boolean isRecentlyAttempted(QueuedJob job, long nowMilliseconds) {
        lastAttemptMilliseconds.values().removeIf(at -> at + RETRY_MILLISECONDS <= nowMilliseconds);
        return lastAttemptMilliseconds.size() >= maximumReservations + 1
                || lastAttemptMilliseconds.putIfAbsent(job, nowMilliseconds) != null;
    }

    private void reserve(QueuedJob job, DrainForecast.DrainedWorkers drained) {
        if (current.size() == maximumReservations) {
            CapacityReservation youngest = current.stream().max(BY_AGE).orElseThrow();
            youngest.release();
            current.remove(youngest);
        }
        current.add(CapacityReservation.reserve(job, drained.atMilliseconds(), drained.workers()));
    }

    private static boolean releaseIfObsolete(CapacityReservation reservation) {
        boolean isObsolete =
                reservation.owner.isEmpty()
                        || !reservation.isIntact()
                        || reservation.owner.waitingSinceMilliseconds
                                != reservation.waitingSinceMilliseconds;
        if (isObsolete) {
            reservation.release();
        }
        return isObsolete;
    }
}
