package org.marjoramnotch.logic.workflow;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.fleet.WorkerKind;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.Workflow;

/**
 * Decides from the ledger whether a workflow can ever be done, and in which pool its steps run. A
 * workflow belongs to the pool that its queue is sent to now and to those that it was sent to since
 * the workflow was accepted.
 */
final class Feasibility {
    private final WorkflowLedger ledger;

    Feasibility(WorkflowLedger ledger) {
        this.ledger = ledger;
    }

    /**
     * Returns what keeps an accepted workflow from ever being done. A step that was placed once has
     * shown that it can run.
     */
    Optional<Obstacle> findObstacle(WorkflowEntry entry) {
        List<StepDefinition> steps = entry.workflow().steps();
        for (int number = 0; number < steps.size(); number++) {
            Optional<Obstacle> obstacle =
                    findObstacle(entry.workflow(), entry.queue(), entry.formerPools(), number);
            if (obstacle.isPresent() && !entry.wasPlaced(number)) {
                return obstacle;
            }
        }
        return Optional.empty();
    }

    /** Returns what would keep a workflow from ever being done if it were accepted now. */
    Optional<Obstacle> findObstacle(Workflow workflow, QueueDefinition queue) {
        for (int number = 0; number < workflow.steps().size(); number++) {
            Optional<Obstacle> obstacle = findObstacle(workflow, queue, List.of(), number);
            if (obstacle.isPresent()) {
                return obstacle;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the pool in which a step runs: the one that its queue is sent to, if a worker there
     * can hold it, else the newest of its former pools in the configuration where one can.
     */
    ServiceName poolOf(WorkflowEntry entry, StepDefinition step) {
        ServiceName present = entry.queue().pool();
        List<ServiceName> former = entry.formerPools();
        if (former.isEmpty() || canHold(present, step)) {
            return present;
        }
        for (int index = former.size() - 1; index >= 0; index--) {
            ServiceName pool = former.get(index);
            if (ledger.hasPool(pool) && canHold(pool, step)) {
                return pool;
            }
        }
        return present;
    }

    /** Returns whether the workers that a pool has now can hold the step when they are idle. */
    private boolean canHold(ServiceName pool, StepDefinition step) {
        long needed = step.gang() ? step.tasks() : 1;
        long held = 0;
        for (WorkerEntry entry : ledger.workers()) {
            if (entry.worker().pool().equals(pool) && !entry.worker().draining()) {
                held += WorkerKind.of(entry.worker()).tasksHeld(step);
            }
            if (held >= needed) {
                return true;
            }
        }
        return false;
    }

    private Optional<Obstacle> findObstacle(
            Workflow workflow, QueueDefinition queue, List<ServiceName> formerPools, int number) {
        StepDefinition step = workflow.steps().get(number);
        FleetHistory history = ledger.history();
        boolean fits =
                history.mayFitWorker(queue.pool(), step)
                        || formerPools.stream().anyMatch(pool -> mayFitFormer(pool, step));
        if (!fits) {
            return Optional.of(
                    new Obstacle.WorkersTooSmall(
                            number, step, queue.pool(), history.kindsOf(queue.pool())));
        }
        Resources atOnce = step.gang() ? step.demand().times(step.tasks()) : step.demand();
        return workflow.team()
                .flatMap(ledger::team)
                .map(TeamDefinition::name)
                .filter(team -> !history.mayAllowTeam(team, atOnce))
                .map(
                        team ->
                                new Obstacle.LimitTooLow(
                                        number, atOnce, team, history.limitsOf(team)));
    }

    /** A former pool without a known worker may get its first one only while it is configured. */
    private boolean mayFitFormer(ServiceName pool, StepDefinition step) {
        FleetHistory history = ledger.history();
        return history.kindsOf(pool).isEmpty()
                ? ledger.hasPool(pool)
                : history.mayFitWorker(pool, step);
    }
}
