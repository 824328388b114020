package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.Map;
import org.marjoramnotch.logic.admission.LoadSnapshot;
import org.marjoramnotch.logic.admission.PoolLoad;
import org.marjoramnotch.logic.admission.TeamLoad;
import org.marjoramnotch.logic.admission.WaitingWork;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

/** Measures the load on pools, teams and the placement advisor in each scheduling round. */
final class LoadMeter {
    private final WorkflowLedger ledger;
    private final AdviceBroker advice;
    private final FeasibilityCheck feasibilityCheck;
    private final Map<ServiceName, RunTimeMean> runTimes = new HashMap<>();
    private final Map<ServiceName, WaitingWork> waitingByPool = new HashMap<>();
    private final Map<TeamName, Long> waitingByTeam = new HashMap<>();
    private WaitingWork waitingForAdvice = new WaitingWork();
    private LoadSnapshot snapshot = LoadSnapshot.NONE;

    LoadMeter(WorkflowLedger ledger, AdviceBroker advice, FeasibilityCheck feasibilityCheck) {
        this.ledger = ledger;
        this.advice = advice;
        this.feasibilityCheck = feasibilityCheck;
    }

    /** Returns the load in the latest round. */
    LoadSnapshot snapshot() {
        return snapshot;
    }

    void beginRound() {
        waitingByPool.clear();
        waitingByTeam.clear();
        waitingForAdvice = new WaitingWork();
    }

    /**
     * Adds the tasks of a step that have not been placed. Infeasible workflows are no load, since
     * they never take room.
     *
     * @param pool the pool in which the step runs
     * @param withinLimit whether the limit of its team lets another of them start
     */
    void addWaiting(ReadyStep step, ServiceName pool, int tasks, boolean withinLimit) {
        if (feasibilityCheck.isInfeasible(step.workflow().id())) {
            return;
        }
        QueueDefinition queue = step.workflow().queue();
        long processorMillis = tasks * step.tasks().definition().reserved().processorMillis();
        step.workflow()
                .workflow()
                .team()
                .ifPresent(team -> waitingByTeam.merge(team, processorMillis, Long::sum));
        if (!withinLimit) {
            return;
        }
        waitingByPool
                .computeIfAbsent(pool, name -> new WaitingWork())
                .add(queue.priority(), processorMillis);
        if (queue.advice().isPresent() && advice.isUnasked(step.id())) {
            waitingForAdvice.add(queue.priority(), 1);
        }
    }

    void endRound(long nowMilliseconds, Map<ServiceName, PoolCapacity> usableWorkers) {
        Map<ServiceName, PoolLoad> pools = new HashMap<>();
        waitingByPool.forEach(
                (name, waiting) -> {
                    PoolCapacity pool = usableWorkers.get(name);
                    if (pool != null) {
                        pools.put(
                                name,
                                new PoolLoad(
                                        pool.totalProcessorMillis(),
                                        pool.freeProcessorMillis(),
                                        meanRunOf(name),
                                        waiting));
                    }
                });
        Map<TeamName, TeamLoad> teams = new HashMap<>();
        ledger.teams().forEach(team -> teams.put(team.name(), loadOf(team)));
        snapshot = new LoadSnapshot(pools, advice.load(nowMilliseconds, waitingForAdvice), teams);
    }

    /**
     * Handles the successful end of a run.
     *
     * @param processorMillis what the run had reserved
     */
    void onRunDone(ServiceName pool, long processorMillis, long runMilliseconds) {
        runTimes.computeIfAbsent(pool, name -> new RunTimeMean())
                .add(processorMillis, runMilliseconds);
    }

    private double meanRunOf(ServiceName pool) {
        RunTimeMean mean = runTimes.get(pool);
        return mean == null ? 0 : mean.milliseconds();
    }

    private TeamLoad loadOf(TeamDefinition team) {
        return new TeamLoad(
                team.weight(),
                team.upperLimit().processorMillis(),
                ledger.usageOf(team.name()).processorMillis(),
                waitingByTeam.getOrDefault(team.name(), 0L));
    }
}
