package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.workflow.RunId;

/** Detects runs that make no progress. */
final class StallDetector {
    /**
     * Time without one percent of progress after which a run is stalled; the longest tasks take a
     * minute.
     */
    private static final long STALL_MILLISECONDS = 2_500;

    private static final int COMPLETE_PERCENT = 100;

    private record Progress(int percent, long since) {}

    private final Map<RunId, Progress> progressByRun = new HashMap<>();

    /** Handles the run statuses in a worker's list and returns the stalled runs. */
    List<RunId> findStalled(long nowMilliseconds, List<RunStatus> statuses) {
        Set<RunId> listed = new HashSet<>();
        List<RunId> stalled = new ArrayList<>();
        for (RunStatus status : statuses) {
            listed.add(status.run());
            Progress before = progressByRun.get(status.run());
            if (before == null || before.percent() != status.progressPercent()) {
                progressByRun.put(
                        status.run(), new Progress(status.progressPercent(), nowMilliseconds));
            } else if (status.progressPercent() < COMPLETE_PERCENT
                    && nowMilliseconds - before.since() >= STALL_MILLISECONDS) {
                stalled.add(status.run());
            }
        }
        progressByRun.keySet().retainAll(listed);
        return stalled;
    }
}
