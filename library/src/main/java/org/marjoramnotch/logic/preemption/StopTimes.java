package org.marjoramnotch.logic.preemption;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;

/** Learns how long stops of runs take, from the request until the end is applied. */
public final class StopTimes {
    /** Assumed until stops are measured; the longest stop of known deployments takes 900 ms. */
    private static final long ASSUMED_MILLISECONDS = 1_000;

    private static final int MINIMUM_STOPS = 5;
    private static final int MAXIMUM_STOPS = 20;

    /** One stop in ten may take longer, since its order or list was lost. */
    private static final double QUANTILE = 0.9;

    /** Runs of workers that are gone have no listed end and are dropped after this time. */
    private static final long FORGET_MILLISECONDS = 10_000;

    private static final int MAXIMUM_REQUESTS = 500;

    private final Map<RunId, Long> requestedAt = new HashMap<>();
    private final Deque<Long> stops = new ArrayDeque<>();

    /** Handles the request to stop a run; further requests for it are ignored. */
    public void onRequested(long nowMilliseconds, RunId run) {
        if (requestedAt.size() >= MAXIMUM_REQUESTS) {
            requestedAt.values().removeIf(at -> nowMilliseconds - at >= FORGET_MILLISECONDS);
        }
        requestedAt.putIfAbsent(run, nowMilliseconds);
    }

    /** Handles the applied end of a run. */
    public void onEnded(long nowMilliseconds, RunEnd end) {
        Long since = requestedAt.remove(end.run());
        if (since != null && end.outcome() == RunOutcome.STOPPED) {
            stops.add(nowMilliseconds - since);
            if (stops.size() > MAXIMUM_STOPS) {
                stops.remove();
            }
        }
    }

    /** Returns how long a stop takes. */
    public long milliseconds() {
        if (stops.size() < MINIMUM_STOPS) {
            return ASSUMED_MILLISECONDS;
        }
        List<Long> sorted = stops.stream().sorted().toList();
        return sorted.get((int) Math.ceil(QUANTILE * sorted.size()) - 1);
    }
}
