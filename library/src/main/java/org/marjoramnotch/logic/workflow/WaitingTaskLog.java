package org.marjoramnotch.logic.workflow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Logs tasks that wait for long although they could start, with what holds them back. */
final class WaitingTaskLog {
    private static final long LONG_WAIT_MILLISECONDS = 3_000;

    /** In a rush, hundreds of steps wait; the longest waits tell enough. */
    private static final int MAXIMUM_ENTRIES = 5;

    private static final class Wait {
        private final long since;
        private long nextEntryAt;

        Wait(long since) {
            this.since = since;
            this.nextEntryAt = since + LONG_WAIT_MILLISECONDS;
        }

        long since() {
            return since;
        }
    }

    private final Map<WorkflowTaskId, Wait> waits = new HashMap<>();

    /**
     * Handles the tasks that wait now; to be called about once a second.
     *
     * @param waiting the first waiting task of each step, with the reason
     */
    void update(long nowMilliseconds, Map<WorkflowTaskId, String> waiting, LeaderOutput output) {
        waits.keySet().retainAll(waiting.keySet());
        waiting.keySet()
                .forEach(task -> waits.computeIfAbsent(task, key -> new Wait(nowMilliseconds)));
        waits.entrySet().stream()
                .filter(entry -> nowMilliseconds >= entry.getValue().nextEntryAt)
                .sorted(Comparator.comparingLong(entry -> entry.getValue().since()))
                .limit(MAXIMUM_ENTRIES)
                .forEach(
                        entry -> {
                            Wait wait = entry.getValue();
                            wait.nextEntryAt = nowMilliseconds + LONG_WAIT_MILLISECONDS;
                            output.logDecision(
                                    DecisionLogEntry.of(
                                            "task_waits",
                                            "task",
                                            entry.getKey(),
                                            "waited_ms",
                                            nowMilliseconds - wait.since,
                                            "reason",
                                            waiting.get(entry.getKey())));
                        });
    }
}
