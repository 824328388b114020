package org.marjoramnotch.logic.workflow;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.workflow.RunId;

/** The runs in the latest list of a worker. */
final class ListedRuns {
    /**
     * A run in the latest list.
     *
     * @param status its status
     * @param listedAt when the list came
     * @param checkpointSince when a list first showed the checkpoint
     */
    record ListedRun(RunStatus status, long listedAt, long checkpointSince) {
        /** Returns a run that has started since the latest list. */
        static ListedRun withoutProgress(RunId run) {
            return new ListedRun(new RunStatus(run, "", 0, -1), 0, 0);
        }
    }

    private Map<RunId, ListedRun> runs = new HashMap<>();

    /** Replaces the runs by those of a new list. */
    void update(long nowMilliseconds, Collection<RunStatus> running) {
        Map<RunId, ListedRun> updated = new HashMap<>();
        for (RunStatus status : running) {
            ListedRun before = runs.get(status.run());
            boolean same =
                    before != null && before.status().checkpoint().equals(status.checkpoint());
            long since = same ? before.checkpointSince() : nowMilliseconds;
            updated.put(status.run(), new ListedRun(status, nowMilliseconds, since));
        }
        runs = updated;
    }

    void clear() {
        runs.clear();
    }

    Set<RunId> runs() {
        return runs.keySet();
    }

    Optional<ListedRun> find(RunId run) {
        return Optional.ofNullable(runs.get(run));
    }
}
