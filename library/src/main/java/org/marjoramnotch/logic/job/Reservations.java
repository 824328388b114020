package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps workers for the oldest jobs that do not fit, a small number at a time. A job holds nothing
 * before it starts, so that two of them cannot wait for each other.
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

    Reservations(int most, WorkerPool pool, RunTimeEstimates runTimes) {
        this.maximumReservations = most;
        this.pool = pool;
        this.runTimes = runTimes;
    }

    /** Takes over that so many tasks of a job, whose team has room, do not fit now. */
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

    /** Lets workers go whose job started or waits no more, or of which one takes no work. */
    void releaseObsolete() {
        if (!current.isEmpty()) {
            current.removeIf(Reservations::releaseIfObsolete);
        }
    }

    /** Lets the workers go that are kept for a job whose team has no room. */
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
        boolean known = current.stream().anyMatch(reservation -> reservation.owner == job);
        if (known || current.size() < maximumReservations) {
            return !known;
        }
        CapacityReservation youngest = current.stream().max(BY_AGE).orElseThrow();
        return job.compareTo(youngest.owner) < 0;
    }

    /** Bounds how often the runs of many workers are looked at for the same job. */
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
        boolean isVoid =
                reservation.owner.isEmpty()
                        || !reservation.isIntact()
                        || reservation.owner.waitingSinceMilliseconds
                                != reservation.waitingSinceMilliseconds;
        if (isVoid) {
            reservation.release();
        }
        return isVoid;
    }
}
