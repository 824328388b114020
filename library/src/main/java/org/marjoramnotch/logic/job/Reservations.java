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
    private static final int FEWEST_WORKERS_LOOKED_AT = 32;
    private static final long RETRY_MILLISECONDS = 2_000;
    private static final Comparator<CapacityReservation> BY_AGE =
            Comparator.comparing(reservation -> reservation.owner);

    private final int most;
    private final WorkerPool pool;
    private final RunTimes runTimes;
    private final List<CapacityReservation> current = new ArrayList<>();
    private final Map<QueuedJob, Long> tried = new HashMap<>();

    Reservations(int most, WorkerPool pool, RunTimes runTimes) {
        this.most = most;
        this.pool = pool;
        this.runTimes = runTimes;
    }

    /** Takes over that so many tasks of a job, whose team has room, do not fit now. */
    void blocked(QueuedJob job, int tasks, long nowMilliseconds) {
        if (!isAmongOldest(job) || isTriedLately(job, nowMilliseconds)) {
            return;
        }
        List<WorkerSession> candidates =
                pool.free().sample(Math.max(FEWEST_WORKERS_LOOKED_AT, 4 * tasks));
        candidates.removeIf(worker -> worker.reservation != null);
        new DrainForecast(runTimes, nowMilliseconds)
                .drained(candidates, job.job.perTask(), tasks)
                .ifPresent(drained -> keep(job, drained));
    }

    /** Lets workers go whose job started or waits no more, or of which one takes no work. */
    void check() {
        if (!current.isEmpty()) {
            current.removeIf(Reservations::releaseIfVoid);
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
        if (known || current.size() < most) {
            return !known;
        }
        CapacityReservation youngest = current.stream().max(BY_AGE).orElseThrow();
        return job.compareTo(youngest.owner) < 0;
    }

    /** Bounds how often the runs of many workers are looked at for the same job. */
    private boolean isTriedLately(QueuedJob job, long nowMilliseconds) {
        tried.values().removeIf(at -> at + RETRY_MILLISECONDS <= nowMilliseconds);
        return tried.size() >= most + 1 || tried.putIfAbsent(job, nowMilliseconds) != null;
    }

    private void keep(QueuedJob job, DrainForecast.Drained drained) {
        if (current.size() == most) {
            CapacityReservation youngest = current.stream().max(BY_AGE).orElseThrow();
            youngest.release();
            current.remove(youngest);
        }
        current.add(CapacityReservation.keep(job, drained.atMilliseconds(), drained.workers()));
    }

    private static boolean releaseIfVoid(CapacityReservation reservation) {
        boolean isVoid =
                reservation.owner.isEmpty()
                        || !reservation.isWhole()
                        || reservation.owner.waitingSinceMilliseconds
                                != reservation.waitingSinceMilliseconds;
        if (isVoid) {
            reservation.release();
        }
        return isVoid;
    }
}
