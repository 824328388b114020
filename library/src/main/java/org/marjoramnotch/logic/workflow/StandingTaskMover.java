package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.marjoramnotch.logic.evacuation.StandingTaskMoves;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * Stops standing tasks in evacuated zones one at a time for each step, if there is room elsewhere.
 */
final class StandingTaskMover {
    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;
    private final Feasibility feasibility;
    private final AdviceBroker advice;
    private final CapacityView capacity;
    private final StandingTaskMoves moves;

    StandingTaskMover(
            WorkflowLedger ledger,
            WorkerSessions sessions,
            Feasibility feasibility,
            AdviceBroker advice,
            CapacityView capacity,
            StandingTaskMoves moves) {
        this.ledger = ledger;
        this.sessions = sessions;
        this.feasibility = feasibility;
        this.advice = advice;
        this.capacity = capacity;
        this.moves = moves;
    }

    /** Returns whether any task may have to move now. */
    boolean isNeeded(long nowMilliseconds) {
        return ledger.evacuations().isAnyActive() && moves.mayMove(nowMilliseconds);
    }

    /**
     * Stops the next task of each step.
     *
     * @param usableWorkers the usable workers outside of evacuated zones
     */
    void move(
            long nowMilliseconds,
            Map<ServiceName, PoolCapacity> usableWorkers,
            LeaderOutput output) {
        for (WorkflowEntry entry : ledger.active()) {
            // Occurrences without a started task run nothing.
            entry.startedOccurrences()
                    .forEach(
                            (occurrence, steps) ->
                                    move(
                                            nowMilliseconds,
                                            entry,
                                            occurrence,
                                            usableWorkers,
                                            output));
        }
    }

    private void move(
            long nowMilliseconds,
            WorkflowEntry entry,
            int occurrence,
            Map<ServiceName, PoolCapacity> usableWorkers,
            LeaderOutput output) {
        List<StepTasks> steps = entry.steps(occurrence);
        for (int number = 0; number < steps.size(); number++) {
            StepTasks tasks = steps.get(number);
            // The other members of a gang can make no progress without one of them.
            if (tasks.definition().standing() && !tasks.definition().gang()) {
                StepId id = new StepId(entry.id(), occurrence, number);
                ReadyStep step = new ReadyStep(entry, id, tasks, 0, 0, 0);
                move(nowMilliseconds, step, usableWorkers, output);
            }
        }
    }

    private void move(
            long nowMilliseconds,
            ReadyStep step,
            Map<ServiceName, PoolCapacity> usableWorkers,
            LeaderOutput output) {
        StepDefinition definition = step.tasks().definition();
        RunId run =
                moves.next(definition.mostAbsent(), describe(nowMilliseconds, step)).orElse(null);
        PoolCapacity pool = usableWorkers.get(feasibility.poolOf(step.workflow(), definition));
        WorkerCapacity target =
                run == null || pool == null ? null : findRoom(step, pool).orElse(null);
        if (run == null || target == null) {
            return;
        }
        // Other steps that move in this pass need other room.
        pool.reserve(target, definition.reserved());
        WorkerSession session =
                step.tasks()
                        .tasks()
                        .get(run.task().index())
                        .worker()
                        .flatMap(sessions::of)
                        .orElseThrow();
        output.logDecision(
                DecisionLogEntry.of(
                                "standing_task_moved",
                                "run",
                                run,
                                "worker",
                                session.worker().id(),
                                "reason",
                                "zone_evacuated",
                                "zone",
                                session.worker().availabilityZone(),
                                "room_on",
                                target.id())
                        .at(output.position()));
        session.stop(nowMilliseconds, run, output);
    }

    private List<StandingTaskMoves.Task> describe(long nowMilliseconds, ReadyStep step) {
        List<StandingTaskMoves.Task> tasks = new ArrayList<>();
        for (int index = 0; index < step.tasks().tasks().size(); index++) {
            TaskState state = step.tasks().tasks().get(index);
            Optional<RunId> run =
                    state.isRunning()
                            ? Optional.of(
                                    new RunId(new WorkflowTaskId(step.id(), index), state.run()))
                            : Optional.empty();
            Optional<WorkerSession> session =
                    run.flatMap(running -> state.worker()).flatMap(sessions::of);
            boolean atWork =
                    session.filter(known -> known.isAtWork(nowMilliseconds, run.orElseThrow()))
                            .isPresent();
            boolean evacuated =
                    session.filter(known -> ledger.evacuations().isEvacuated(known.worker()))
                            .isPresent();
            tasks.add(new StandingTaskMoves.Task(run, atWork, evacuated));
        }
        return tasks;
    }

    /** Returns a worker that can take a task of a step now, if the team's limit lets it restart. */
    private Optional<WorkerCapacity> findRoom(ReadyStep step, PoolCapacity pool) {
        StepDefinition definition = step.tasks().definition();
        Optional<TeamDefinition> team = step.workflow().workflow().team().flatMap(ledger::team);
        if (!capacity.isWithinLimit(team, Resources.NONE)) {
            return Optional.empty();
        }
        SpreadLimit spread = new SpreadLimit(step, capacity);
        Predicate<WorkerId> eligible = advice.eligible(step.id());
        return pool.mostFreeFirst().stream()
                .filter(worker -> worker.holds(definition.reserved()))
                .filter(worker -> worker.hasLabelFor(definition))
                .filter(worker -> spread.allows(worker.id()) && eligible.test(worker.id()))
                .findFirst();
    }
}
