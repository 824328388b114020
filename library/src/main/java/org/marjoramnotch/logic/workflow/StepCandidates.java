package org.marjoramnotch.logic.workflow;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.fleet.TeamDefinition;

/**
 * A step whose turn it is, and the workers that may take its tasks.
 *
 * @param step the step
 * @param team the team that it runs for, if it is known
 * @param pool all usable workers of its pool
 * @param workers those with the label, the advice and the room for a task
 * @param preference the order in which they are taken
 */
record StepCandidates(
        ReadyStep step,
        Optional<TeamDefinition> team,
        PoolCapacity pool,
        List<WorkerCapacity> workers,
        Comparator<WorkerCapacity> preference) {
    /** Returns the same step with some of the workers. */
    StepCandidates withWorkers(List<WorkerCapacity> some) {
        return new StepCandidates(step, team, pool, some, preference);
    }
}
