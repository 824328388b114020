package org.marjoramnotch.logic.release;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.message.ReleaseWorker;

/**
 * The lives of workers that have reported that they drain.
 *
 * <p>A release may arrive after its sender has ended and another life of the worker has enrolled,
 * and it need not name the life that sent it. A worker announces its end: it reports that it
 * drains, continues for the drain time after the confirmation, and only then sends the release. A
 * release is therefore never about a life that has not reported this, or only just now.
 */
public final class DrainingLives {
    /** Allows for the rates of the clocks of the worker and of the leader. */
    private static final double LEAST_SHARE_OF_DRAIN_TIME = 0.9;

    private final long drainMilliseconds;
    private final Map<WorkerIncarnation, Long> since = new HashMap<>();

    /**
     * Creates a record without lives.
     *
     * @param drainMilliseconds how long a worker continues after its report is confirmed; 0 if this
     *     is not known
     */
    public DrainingLives(long drainMilliseconds) {
        this.drainMilliseconds = drainMilliseconds;
    }

    /** Notes what a life has reported; the report is confirmed after this. */
    public void update(long nowMilliseconds, FleetWorker worker) {
        if (worker.draining()) {
            since.putIfAbsent(worker.incarnation(), nowMilliseconds);
        } else {
            since.remove(worker.incarnation());
        }
    }

    /** Forgets a life that is over. */
    public void forget(WorkerIncarnation life) {
        since.remove(life);
    }

    /**
     * Returns for how long a life has been draining; empty if it is not, or has been since before
     * this leader.
     */
    public OptionalLong drainingMilliseconds(long nowMilliseconds, WorkerIncarnation life) {
        Long begun = since.get(life);
        return begun == null ? OptionalLong.empty() : OptionalLong.of(nowMilliseconds - begun);
    }

    /** Returns what shows whether a release is about the enrolled life of its worker. */
    public ReleaseEvidence judge(
            long nowMilliseconds, ReleaseWorker release, FleetWorker enrolled) {
        OptionalLong named = release.startedEpochMilliseconds();
        if (named.isPresent()) {
            return named.getAsLong() == enrolled.incarnation().startedEpochMilliseconds()
                    ? ReleaseEvidence.START_TIME
                    : ReleaseEvidence.OTHER_START_TIME;
        }
        if (!enrolled.draining()) {
            return ReleaseEvidence.NOT_DRAINING;
        }
        OptionalLong draining = drainingMilliseconds(nowMilliseconds, enrolled.incarnation());
        boolean brief =
                draining.isPresent()
                        && draining.getAsLong() < drainMilliseconds * LEAST_SHARE_OF_DRAIN_TIME;
        return brief ? ReleaseEvidence.DRAINING_BRIEFLY : ReleaseEvidence.DRAINED;
    }
}
