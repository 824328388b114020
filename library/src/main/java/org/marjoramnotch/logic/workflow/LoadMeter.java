package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramnotch.logic.admission.LoadSnapshot;
import org.marjoramnotch.logic.admission.PoolLoad;
import org.marjoramnotch.logic.admission.TeamLoad;
import org.marjoramnotch.logic.admission.WaitingWork;
import org.marjoramnotch.logic.overload.WorkItem;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;

/** Measures the load on pools, teams and the placement advisor in each scheduling round. */
final class LoadMeter {
    private final WorkflowLedger ledger;
    private final AdviceBroker advice;
    private final FeasibilityCheck feasibilityCheck;
    private final RunTimeForecast forecast;
    private final RemainingWork work;
    private final Map<ServiceName, Long> lastTotals = new HashMap<>();
    private final Map<ServiceName, RunTimeMean> runTimes = new HashMap<>();
    private final Map<ServiceName, WaitingWork> waitingByPool = new HashMap<>();
    private final Map<TeamName, WaitingWork> waitingByTeam = new HashMap<>();
    private WaitingWork waitingForAdvice = new WaitingWork();
    private LoadSnapshot snapshot = LoadSnapshot.NONE;

    LoadMeter(
            WorkflowLedger ledger,
            AdviceBroker advice,
            FeasibilityCheck feasibilityCheck,
            RemainingWork work) {
        this.work = work;
        this.forecast = work.forecast();
        this.ledger = ledger;
        this.advice = advice;
        this.feasibilityCheck = feasibilityCheck;
    }

    /** Returns the load in the latest round. */
    LoadSnapshot snapshot() {
        return snapshot;
    }

    /** Returns whether large work is served last if not all work can be in time. */
    boolean setsAside() {
        return work.setsAside();
    }

    /** Returns the work of each pool in the latest round. */
    Map<ServiceName, List<WorkItem>> items() {
        return work.items();
    }

    void beginRound(long nowMilliseconds) {
        work.measure(nowMilliseconds);
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
                .ifPresent(
                        team ->
                                waitingByTeam
                                        .computeIfAbsent(team, name -> new WaitingWork())
                                        .add(queue.priority(), processorMillis));
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
        usableWorkers.forEach(
                (name, pool) -> {
                    if (pool.totalProcessorMillis() > 0) {
                        lastTotals.put(name, pool.totalProcessorMillis());
                    }
                });
        Map<ServiceName, PoolLoad> pools = new HashMap<>();
        work.items().keySet().forEach(name -> pools.put(name, loadOf(name, usableWorkers)));
        Map<TeamName, TeamLoad> teams = new HashMap<>();
        ledger.teams().forEach(team -> teams.put(team.name(), loadOf(team)));
        snapshot = new LoadSnapshot(pools, advice.load(nowMilliseconds, waitingForAdvice), teams);
    }

    /** Handles the successful end of a run. */
    void onRunDone(ServiceName pool, QueueName queue, StepDefinition step, long runMilliseconds) {
        runTimes.computeIfAbsent(pool, name -> new RunTimeMean())
                .add(step.reserved().processorMillis(), runMilliseconds);
        forecast.onDone(queue, step, runMilliseconds);
    }

    /** Returns the measured ratio of run time to estimate of a queue. */
    double ratio(QueueDefinition queue) {
        return forecast.ratio(queue);
    }

    /** Handles the application of a start. */
    void onRunStarted(long nowMilliseconds, StepId step) {
        forecast.onStarted(nowMilliseconds, step);
    }

    /** Discards what is known of a workflow that has ended. */
    void forget(JobId workflow) {
        forecast.forget(workflow);
    }

    /** Returns the load of a pool; one that has lost its workers keeps its latest capacity. */
    private PoolLoad loadOf(ServiceName name, Map<ServiceName, PoolCapacity> usableWorkers) {
        PoolCapacity pool = usableWorkers.getOrDefault(name, new PoolCapacity());
        long total = pool.totalProcessorMillis();
        return new PoolLoad(
                total > 0 ? total : lastTotals.getOrDefault(name, 0L),
                pool.freeProcessorMillis(),
                meanRunOf(name),
                waitingByPool.getOrDefault(name, new WaitingWork()),
                work.backlogsOf(name));
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
                waitingByTeam.getOrDefault(team.name(), new WaitingWork()),
                work.backlogOf(team.name()));
    }
}
