package org.marjoramnotch.logic.workflow;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * Capacity in use on workers and by teams, including starts that are decided but not applied yet.
 */
final class CapacityView {
    /** A start that is decided but not applied yet. */
    record DecidedStart(WorkerId worker, StepDefinition step, Optional<TeamName> team) {}

    private final WorkflowLedger ledger;
    private final Map<WorkflowTaskId, DecidedStart> decidedStarts = new HashMap<>();
    private final Map<WorkerId, Resources> decidedByWorker = new HashMap<>();
    private final Map<TeamName, Resources> decidedByTeam = new HashMap<>();

    CapacityView(WorkflowLedger ledger) {
        this.ledger = ledger;
    }

    /** Returns the starts that are decided but not applied yet. */
    Map<WorkflowTaskId, DecidedStart> decidedStarts() {
        return Collections.unmodifiableMap(decidedStarts);
    }

    boolean isDecided(WorkflowTaskId task) {
        return decidedStarts.containsKey(task);
    }

    /** Returns the worker of a decided start. */
    Optional<WorkerId> decidedWorker(WorkflowTaskId task) {
        return Optional.ofNullable(decidedStarts.get(task)).map(DecidedStart::worker);
    }

    void addDecidedStart(
            WorkflowTaskId task, WorkerId worker, StepDefinition step, Optional<TeamName> team) {
        decidedStarts.put(task, new DecidedStart(worker, step, team));
        decidedByWorker.merge(worker, step.reserved(), Resources::plus);
        team.ifPresent(name -> decidedByTeam.merge(name, step.demand(), Resources::plus));
    }

    /** Removes a decided start after it was applied or dropped. */
    void removeDecidedStart(WorkflowTaskId task) {
        DecidedStart start = decidedStarts.remove(task);
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

    /** Returns whether a team can run this much more within its upper limit. */
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

    /** Returns the capacity of a worker reserved by runs and decided starts. */
    Resources reservedOn(WorkerEntry worker) {
        return worker.reserved()
                .plus(decidedByWorker.getOrDefault(worker.worker().id(), Resources.NONE));
    }
}
