package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * The kinds of workers and the limits of teams that this replica has seen. Workers leave and come
 * back, and limits are lowered and raised, so what was possible once may be possible again. How far
 * back the history reaches differs between replicas, so only proposals may depend on it, never the
 * application of a command.
 */
final class FleetHistory {
    /** Workers with the same capacity and labels, which are interchangeable for every task. */
    private record WorkerKind(Resources capacity, Set<String> labels) {
        boolean serves(StepDefinition step) {
            return step.requiredLabel().map(labels::contains).orElse(true)
                    && capacity.holds(step.reserved());
        }

        boolean covers(WorkerKind other) {
            return labels.containsAll(other.labels) && capacity.holds(other.capacity);
        }
    }

    private final Map<ServiceName, List<WorkerKind>> kinds = new HashMap<>();
    private final Map<TeamName, Set<TeamDefinition>> teams = new HashMap<>();

    void record(FleetWorker worker) {
        WorkerKind kind = new WorkerKind(worker.capacity(), Set.copyOf(worker.labels()));
        List<WorkerKind> known = kinds.computeIfAbsent(worker.pool(), pool -> new ArrayList<>());
        if (known.stream().noneMatch(other -> other.covers(kind))) {
            known.removeIf(kind::covers);
            known.add(kind);
        }
    }

    void record(FleetConfiguration configuration) {
        configuration
                .teams()
                .forEach(
                        team ->
                                teams.computeIfAbsent(team.name(), name -> new HashSet<>())
                                        .add(withoutKeys(team)));
    }

    private static TeamDefinition withoutKeys(TeamDefinition team) {
        return new TeamDefinition(team.name(), List.of(), 1, team.upperLimit());
    }

    /**
     * Returns whether a worker seen in the pool could run a task of the step, or none was seen yet.
     */
    boolean mayFitWorker(ServiceName pool, StepDefinition step) {
        List<WorkerKind> known = kinds.getOrDefault(pool, List.of());
        return known.isEmpty() || known.stream().anyMatch(kind -> kind.serves(step));
    }

    /** Returns whether a limit seen for the team allows this much, or none was seen yet. */
    boolean mayAllowTeam(TeamName team, Resources amount) {
        Set<TeamDefinition> known = teams.getOrDefault(team, Set.of());
        return known.isEmpty() || known.stream().anyMatch(definition -> definition.allows(amount));
    }
}
