package org.marjoramnotch.logic.release;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.message.ReportWorker;

/**
 * The lives of workers that were released. Their late reports must not enroll them again; a report
 * that came after the release and says that the worker is ready shows that the life goes on.
 */
public final class ReleasedLives {
    /** Outlasts the end of a released life by far. */
    private static final long FORGET_MILLISECONDS = 60_000;

    private static final long UNKNOWN_SEQUENCE = -1;

    private static final class Release {
        final long atMilliseconds;
        long sequence;

        Release(long atMilliseconds, long sequence) {
            this.atMilliseconds = atMilliseconds;
            this.sequence = sequence;
        }
    }

    private final Map<WorkerIncarnation, Release> releases = new HashMap<>();

    /**
     * Notes a release.
     *
     * @param sequence the highest number of a report of the life; empty if none is known
     */
    public void add(long nowMilliseconds, WorkerIncarnation life, OptionalLong sequence) {
        releases.putIfAbsent(life, new Release(nowMilliseconds, sequence.orElse(UNKNOWN_SEQUENCE)));
    }

    /** Returns whether a life was released. */
    public boolean contains(WorkerIncarnation life) {
        return releases.containsKey(life);
    }

    /** Returns when a life was released. */
    public OptionalLong releasedAt(WorkerIncarnation life) {
        Release release = releases.get(life);
        return release == null ? OptionalLong.empty() : OptionalLong.of(release.atMilliseconds);
    }

    /**
     * Returns whether a report of a released life shows that it goes on. Without the number of an
     * earlier report, the first one may be from before the life began to drain.
     */
    public boolean isRefutedBy(ReportWorker report) {
        Release release = releases.get(report.worker().incarnation());
        if (release == null || report.worker().draining()) {
            return false;
        }
        boolean refuted =
                release.sequence != UNKNOWN_SEQUENCE && report.sequence() > release.sequence;
        if (release.sequence == UNKNOWN_SEQUENCE) {
            release.sequence = report.sequence();
        }
        return refuted;
    }

    /** Forgets a release that was not about this life. */
    public void remove(WorkerIncarnation life) {
        releases.remove(life);
    }

    /** Forgets releases of long ago. */
    public void tick(long nowMilliseconds) {
        releases.values()
                .removeIf(
                        release -> nowMilliseconds - release.atMilliseconds >= FORGET_MILLISECONDS);
    }
}
