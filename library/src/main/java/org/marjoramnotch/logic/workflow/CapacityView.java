package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** What workers and teams have left, with starts that are decided but not applied yet. */
final class CapacityView {
    /** A start that is decided. */
    private record Decided(WorkerId worker, StepDefinition step, Optional<TeamName> team) {}

    private final WorkflowLedger ledger;
    private final Map<WorkflowTaskId, Decided> decided = new HashMap<>();
    private final Map<WorkerId, Resources> decidedByWorker = new HashMap<>();
    private final Map<TeamName, Resources> decidedByTeam = new HashMap<>();

    CapacityView(WorkflowLedger ledger) {
        this.ledger = ledger;
    }

    boolean isDecided(WorkflowTaskId task) {
        return decided.containsKey(task);
    }

    /** Returns the worker that a decided start goes to. */
    Optional<WorkerId> decidedWorker(WorkflowTaskId task) {
        return Optional.ofNullable(decided.get(task)).map(Decided::worker);
    }

    void addDecidedStart(
            WorkflowTaskId task, WorkerId worker, StepDefinition step, Optional<TeamName> team) {
        decided.put(task, new Decided(worker, step, team));
        decidedByWorker.merge(worker, step.reserved(), Resources::plus);
        team.ifPresent(name -> decidedByTeam.merge(name, step.demand(), Resources::plus));
    }

    /** Forgets a decided start once it was applied or dropped. */
    void removeDecidedStart(WorkflowTaskId task) {
        Decided start = decided.remove(task);
        if (start == null) {
            return;
        }
        decidedByWorker.computeIfPresent(
                start.worker(), (worker, sum) -> sum.minus(start.step().reserved()));
        start.team()
                .ifPresent(
                        team ->
                                decidedByTeam.computeIfPresent(
                                        team, (name, sum) -> sum.minus(start.step().demand())));
    }

    /** Tells whether a team may have this much more running. */
    boolean isWithinLimit(Optional<TeamDefinition> team, Resources more) {
        return team.map(
                        definition ->
                                definition.allows(
                                        ledger.usageOf(definition.name())
                                                .plus(
                                                        decidedByTeam.getOrDefault(
                                                                definition.name(), Resources.NONE))
                                                .plus(more)))
                .orElse(true);
    }

    /** Returns what runs and decided starts hold of a worker. */
    Resources reservedOn(WorkerEntry worker) {
        return worker.reserved()
                .plus(decidedByWorker.getOrDefault(worker.worker().id(), Resources.NONE));
    }
}
