package org.marjoramnotch.logic.workflow;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.fleet.TeamDefinition;

/**
 * The step being placed and the workers that can take its tasks.
 *
 * @param step the step
 * @param team the team that it runs for, if the configuration has that team
 * @param pool all usable workers of the step's pool
 * @param workers the workers with the required label, advice and capacity for a task
 * @param preference order of preference, the best worker first
 */
record StepCandidates(
        ReadyStep step,
        Optional<TeamDefinition> team,
        PoolCapacity pool,
        List<WorkerCapacity> workers,
        Comparator<WorkerCapacity> preference) {
    /** Returns the same step restricted to some of the workers. */
    StepCandidates withWorkers(List<WorkerCapacity> selected) {
        return new StepCandidates(step, team, pool, selected, preference);
    }
}
