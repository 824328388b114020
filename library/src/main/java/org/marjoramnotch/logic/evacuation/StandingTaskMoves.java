package org.marjoramnotch.logic.evacuation;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.workflow.RunId;

/**
 * Chooses the standing tasks that are stopped in an evacuated zone, so that they start elsewhere.
 * They would run there until they are cancelled, and be lost together if the zone fails.
 */
public final class StandingTaskMoves {
    /**
     * Time after the start of a leader in which it moves no task. A stop of the earlier leader may
     * be under way; it takes at most 1,000 ms, and as long again until the end is stored.
     */
    static final long SETTLE_MILLISECONDS = 2_000;

    private final long startedAt;

    /**
     * A task of a step.
     *
     * @param run its run; empty if it waits or is done
     * @param atWork whether the run is at work and not being stopped
     * @param evacuated whether the run is on a worker of an evacuated zone
     */
    public record Task(Optional<RunId> run, boolean atWork, boolean evacuated) {}

    /**
     * Creates the rule for a new leader.
     *
     * @param startedAt when its duties began, in the leader's time
     */
    public StandingTaskMoves(long startedAt) {
        this.startedAt = startedAt;
    }

    /** Returns whether the leader knows enough to move tasks. */
    public boolean mayMove(long nowMilliseconds) {
        return nowMilliseconds - startedAt >= SETTLE_MILLISECONDS;
    }

    /**
     * Returns the run to stop next, if one may be stopped: all tasks of the step are at work, and
     * planned actions may interrupt one.
     *
     * @param mostAbsent number of tasks that planned actions may interrupt at once
     */
    public Optional<RunId> next(int mostAbsent, List<Task> tasks) {
        if (mostAbsent < 1 || !tasks.stream().allMatch(Task::atWork)) {
            return Optional.empty();
        }
        return tasks.stream().filter(Task::evacuated).findFirst().flatMap(Task::run);
    }
}
