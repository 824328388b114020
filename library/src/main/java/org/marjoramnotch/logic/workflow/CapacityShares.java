package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import org.marjoramnotch.logic.share.CapacityShortage;
import org.marjoramnotch.logic.share.DominantShares;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Measures in each scheduling round in which pools capacity is short, and what each team has of
 * them. All of it follows from the ledger and the last round, so a new leader needs one round.
 */
final class CapacityShares {
    /**
     * The capacity of a pool at the end of a round in which it was short.
     *
     * @param total capacity of its usable workers
     * @param held what was reserved of it
     * @param largest the largest amount of each resource that one worker has
     */
    private record PoolTotals(Resources total, Resources held, Resources largest) {}

    private final WorkflowLedger ledger;
    private final CapacityView capacity;
    private final CapacityShortage shortage = new CapacityShortage();
    private final Map<ServiceName, PoolTotals> totals = new HashMap<>();

    CapacityShares(WorkflowLedger ledger, CapacityView capacity) {
        this.ledger = ledger;
        this.capacity = capacity;
    }

    void beginRound() {
        shortage.beginRound();
    }

    /**
     * Adds a step after its placement.
     *
     * @param waiting number of its tasks that have not been placed
     */
    void addStep(ReadyStep step, ServiceName poolName, PoolCapacity pool, int waiting) {
        Optional<TeamName> team = step.workflow().workflow().team();
        if (waiting > 0
                && !shortage.isWaiting(poolName, team)
                && waitsForCapacity(step.tasks().definition(), pool)) {
            shortage.addWaiting(poolName, team);
        }
    }

    void endRound(Map<ServiceName, PoolCapacity> usableWorkers) {
        shortage.endRound(this::holders);
        totals.clear();
        for (ServiceName pool : shortage.shortPools()) {
            totals.put(pool, totalsOf(usableWorkers.getOrDefault(pool, new PoolCapacity())));
        }
    }

    /** Returns the pools whose capacity was short in the last complete round. */
    Set<ServiceName> shortPools() {
        return shortage.shortPools();
    }

    /** Returns the shares of a short pool with running and decided work, but no waiting work. */
    DominantShares sharesOf(ServiceName pool) {
        PoolTotals room = totals.get(pool);
        DominantShares shares = new DominantShares(room.total(), room.held(), ledger::team);
        visitHeld(
                pool,
                (team, amount) -> {
                    shares.addUse(team, amount);
                    return true;
                });
        return shares;
    }

    /** Returns how many tasks of each step have a decided start. */
    Map<StepId, Integer> decidedTasks() {
        Map<StepId, Integer> decided = new HashMap<>();
        capacity.decidedStarts()
                .keySet()
                .forEach(task -> decided.merge(task.step(), 1, Integer::sum));
        return decided;
    }

    /** Returns whether some worker of a short pool may be large enough for a task. */
    boolean isPossible(ServiceName pool, StepDefinition step) {
        return totals.get(pool).largest().holds(step.reserved());
    }

    /**
     * Returns whether a step finds no capacity now although the usable workers would have enough if
     * they were idle. Infeasible work waits for no capacity.
     */
    private static boolean waitsForCapacity(StepDefinition step, PoolCapacity pool) {
        Resources reserved = step.reserved();
        int needed = step.gang() ? step.tasks() : 1;
        int free = 0;
        int idle = 0;
        for (WorkerCapacity worker : pool.mostFreeFirst()) {
            if (idle >= needed && worker.freeProcessorMillis() < reserved.processorMillis()) {
                // All further workers have less free processor capacity.
                return true;
            }
            if (worker.hasLabelFor(step)) {
                free += worker.tasksThatFit(reserved, needed - free);
                if (free >= needed) {
                    return false;
                }
                WorkerCapacity emptied = WorkerCapacity.idle(worker.entry());
                idle += emptied.tasksThatFit(reserved, needed - idle);
            }
        }
        return idle >= needed;
    }

    private Set<Optional<TeamName>> holders(ServiceName pool) {
        Set<Optional<TeamName>> holders = new HashSet<>();
        visitHeld(
                pool,
                (team, amount) -> {
                    holders.add(team);
                    // Two holders already show that each waiting team waits for another one.
                    return holders.size() < 2;
                });
        return holders;
    }

    /** Visits the running and decided work in a pool until the visitor returns false. */
    private void visitHeld(ServiceName pool, BiPredicate<Optional<TeamName>, Resources> visitor) {
        for (WorkerEntry entry : ledger.workers()) {
            if (entry.worker().pool().equals(pool)) {
                for (ActiveRun run : entry.runs()) {
                    if (!visitor.test(run.team(), run.step().reserved())) {
                        return;
                    }
                }
            }
        }
        for (CapacityView.DecidedStart start : capacity.decidedStarts().values()) {
            boolean inPool =
                    ledger.worker(start.worker())
                            .filter(entry -> entry.worker().pool().equals(pool))
                            .isPresent();
            if (inPool && !visitor.test(start.team(), start.step().reserved())) {
                return;
            }
        }
    }

    private PoolTotals totalsOf(PoolCapacity pool) {
        Resources total = Resources.NONE;
        Resources held = Resources.NONE;
        Resources largest = Resources.NONE;
        for (WorkerCapacity worker : pool.mostFreeFirst()) {
            Resources own = worker.entry().worker().capacity();
            total = total.plus(own);
            held = held.plus(capacity.reservedOn(worker.entry()));
            largest =
                    new Resources(
                            Math.max(largest.processorMillis(), own.processorMillis()),
                            Math.max(largest.memoryMegabytes(), own.memoryMegabytes()),
                            Math.max(largest.accelerators(), own.accelerators()));
        }
        return new PoolTotals(total, held, largest);
    }
}
