package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.workflow.RunId;

/** Notices runs whose progress stands still. */
final class StallDetector {
    /** Longest time without a percent of progress; tasks of the longest kind take a minute. */
    private static final long STALL_MILLISECONDS = 2_500;

    private static final int COMPLETE_PERCENT = 100;

    private record Progress(int percent, long since) {}

    private final Map<RunId, Progress> seen = new HashMap<>();

    /** Takes a list of a worker and returns the runs that stand still. */
    List<RunId> onRows(long nowMilliseconds, List<RunStatus> rows) {
        Set<RunId> listed = new HashSet<>();
        List<RunId> stalled = new ArrayList<>();
        for (RunStatus row : rows) {
            listed.add(row.run());
            Progress before = seen.get(row.run());
            if (before == null || before.percent() != row.progressPercent()) {
                seen.put(row.run(), new Progress(row.progressPercent(), nowMilliseconds));
            } else if (row.progressPercent() < COMPLETE_PERCENT
                    && nowMilliseconds - before.since() >= STALL_MILLISECONDS) {
                stalled.add(row.run());
            }
        }
        seen.keySet().retainAll(listed);
        return stalled;
    }
}
