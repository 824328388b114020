package org.marjoramnotch.logic.job;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Keeps workers for the oldest gang that does not fit. Only one gang has workers kept, and a gang
 * holds nothing before all of it starts, so that two gangs cannot wait for each other.
 */
final class GangReservation {
    private static final int FEWEST_WORKERS_LOOKED_AT = 256;
    private static final long RETRY_MILLISECONDS = 2_000;

    private final WorkerPool pool;
    private final RunTimes runTimes;
    private @Nullable CapacityReservation current;
    private long nextTryMilliseconds;

    GangReservation(WorkerPool pool, RunTimes runTimes) {
        this.pool = pool;
        this.runTimes = runTimes;
    }

    /** Takes over that a gang whose team has room does not fit now. */
    void blocked(QueuedJob gang, long nowMilliseconds) {
        if (current != null && current.owner.compareTo(gang) <= 0) {
            return;
        }
        boolean replaces = current != null;
        if (!replaces && nowMilliseconds < nextTryMilliseconds) {
            return;
        }
        nextTryMilliseconds = nowMilliseconds + RETRY_MILLISECONDS;
        int tasks = gang.waiting();
        List<WorkerSession> candidates =
                pool.free().sample(Math.max(FEWEST_WORKERS_LOOKED_AT, 4 * tasks));
        new DrainForecast(runTimes, nowMilliseconds)
                .drained(candidates, gang.job.perTask(), tasks)
                .ifPresent(drained -> keep(gang, drained));
    }

    /** Lets the workers go when the gang waits no more or one of them takes no work. */
    void check() {
        if (current != null && (current.owner.isEmpty() || !current.isWhole())) {
            release();
        }
    }

    private void keep(QueuedJob gang, DrainForecast.Drained drained) {
        release();
        current = CapacityReservation.keep(gang, drained.atMilliseconds(), drained.workers());
    }

    private void release() {
        if (current != null) {
            current.release();
            current = null;
        }
    }
}
