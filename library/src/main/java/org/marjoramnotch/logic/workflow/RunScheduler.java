package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.evacuation.ColdZones;
import org.marjoramnotch.logic.evacuation.StandingTaskMoves;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Schedules the tasks of ready steps on workers. */
final class RunScheduler {
    private final WorkflowLedger ledger;
    private final CapacityView capacity;
    private final ReadySteps readySteps;
    private final CapacityShares shares;
    private final TeamShareLog shareLog;
    private final StepOrdering stepOrdering;
    private final ServicePlanRanking servicePlan;
    private final WorkerPreference workerPreference;
    private final CandidateSearch search;
    private final AdviceBroker advice;
    private final TaskPlacer placer;
    private final LoadMeter load;
    private final Feasibility feasibility;
    private final UsableWorkers usable;
    private final Preemption preemption;
    private final StandingTaskMover standingTasks;
    private final OverdueStepTurns overdueTurns = new OverdueStepTurns();
    private final WaitingTaskLog waitingTasks = new WaitingTaskLog();

    RunScheduler(
            WorkflowLedger ledger,
            WorkerSessions sessions,
            AdviceBroker advice,
            LatencyObjectives objectives,
            SpeedEstimator speeds,
            LoadMeter load,
            Feasibility feasibility,
            ColdZones coldZones,
            StandingTaskMoves standingTaskMoves,
            Preemption preemption,
            RunMetricsListener metricsListener) {
        this.ledger = ledger;
        this.load = load;
        this.feasibility = feasibility;
        this.preemption = preemption;
        this.capacity = new CapacityView(ledger);
        this.usable = new UsableWorkers(ledger, sessions, capacity, speeds, coldZones, preemption);
        this.shares = new CapacityShares(ledger, capacity);
        this.shareLog = new TeamShareLog(metricsListener);
        this.servicePlan = new ServicePlanRanking(load);
        StepRanking shareRanking =
                new WeightedShareRanking(shares, feasibility, List.of(servicePlan), shareLog);
        this.stepOrdering = new LatencyStepOrdering(List.of(shareRanking, servicePlan));
        this.advice = advice;
        this.workerPreference = new BestFitPreference();
        this.search = new CandidateSearch(advice, capacity);
        this.placer = new TaskPlacer(sessions, advice, capacity);
        this.readySteps = new ReadySteps(ledger, objectives, placer);
        this.standingTasks =
                new StandingTaskMover(
                        ledger, sessions, feasibility, advice, capacity, standingTaskMoves);
    }

    /** Removes and returns the ticket of a decided run. */
    Optional<String> takeTicket(RunId run) {
        return placer.takeTicket(run);
    }

    /** Handles the application of starts. */
    void onApplied(StartRuns command) {
        command.placements()
                .forEach(placement -> capacity.removeDecidedStart(placement.run().task()));
    }

    /** Runs a scheduling round, which decides which runs start now. */
    void schedule(long nowMilliseconds, LeaderOutput output) {
        placer.beginRound();
        advice.beginRound();
        load.beginRound(nowMilliseconds);
        shares.beginRound();
        preemption.beginRound(nowMilliseconds);
        List<ReadyStep> upcoming = new ArrayList<>();
        List<ReadyStep> ready = readySteps.find(nowMilliseconds, upcoming);
        stepOrdering.sort(nowMilliseconds, ready);
        if (ready.isEmpty() && upcoming.isEmpty()) {
            load.endRound(nowMilliseconds, idleCapacity(nowMilliseconds));
            shares.endRound(Map.of());
            return;
        }
        overdueTurns.apply(nowMilliseconds, ready);
        Map<ServiceName, PoolCapacity> usableWorkers = usable.byPool(nowMilliseconds);
        List<RunPlacement> singles = new ArrayList<>();
        long askedBefore = advice.sentCount();
        int placedCount = 0;
        int urgency = 0;
        for (ReadyStep step : ready) {
            ServiceName poolName = poolOf(step);
            PoolCapacity pool = pool(usableWorkers, poolName);
            Optional<TeamDefinition> team = step.workflow().workflow().team().flatMap(ledger::team);
            preemption.makeAvailable(step, pool);
            List<RunPlacement> placed = place(nowMilliseconds, step, pool, team);
            preemption.keepRest(step, pool, placed);
            int waiting = placer.countWaiting(step);
            boolean withinLimit = search.isWithinLimit(step, team);
            if (withinLimit) {
                askAdvice(nowMilliseconds, step, pool, waiting, urgency, output);
            }
            load.addWaiting(step, poolName, waiting, withinLimit);
            shares.addStep(step, poolName, pool, withinLimit ? waiting : 0);
            preemption.offer(step, poolName, waiting, withinLimit);
            urgency++;
            placedCount += placed.size();
            if (step.tasks().definition().gang()) {
                propose(placed, output);
            } else {
                singles.addAll(placed);
            }
        }
        propose(singles, output);
        preemption.plan(nowMilliseconds, usableWorkers, capacity, output);
        for (ReadyStep step : upcoming) {
            PoolCapacity pool = pool(usableWorkers, poolOf(step));
            int waiting = placer.countWaiting(step);
            askAdvice(nowMilliseconds, step, pool, waiting, urgency, output);
            urgency++;
        }
        load.endRound(nowMilliseconds, usableWorkers);
        shares.endRound(usableWorkers);
        if (placedCount > 0 || advice.sentCount() > askedBefore) {
            overdueTurns.onProductiveRound();
        }
    }

    /** Logs tasks that have waited for long; to be called about once a second. */
    void logWaiting(long nowMilliseconds, LeaderOutput output) {
        Map<ServiceName, PoolCapacity> usableWorkers = usable.byPool(nowMilliseconds);
        Map<WorkflowTaskId, String> waiting = new HashMap<>();
        for (ReadyStep step : readySteps.find(nowMilliseconds, new ArrayList<>())) {
            placer.firstWaiting(step)
                    .ifPresent(
                            task ->
                                    waiting.put(
                                            task,
                                            reasonToWait(
                                                    nowMilliseconds,
                                                    step,
                                                    task,
                                                    pool(usableWorkers, poolOf(step)))));
        }
        waitingTasks.update(nowMilliseconds, waiting, output);
        shareLog.log(output);
        servicePlan.logSetAside(nowMilliseconds, output);
    }

    /** Moves standing tasks out of evacuated zones; to be called about once a second. */
    void moveStandingTasks(long nowMilliseconds, LeaderOutput output) {
        if (standingTasks.isNeeded(nowMilliseconds)) {
            standingTasks.move(nowMilliseconds, usable.byPool(nowMilliseconds), output);
        }
    }

    private String reasonToWait(
            long nowMilliseconds, ReadyStep step, WorkflowTaskId task, PoolCapacity pool) {
        if (placer.isBlocked(task)) {
            return "blocked";
        }
        if (!search.isWithinLimit(step, step.workflow().workflow().team().flatMap(ledger::team))) {
            return "team_limit";
        }
        if (pool.size() == 0) {
            return "no_usable_worker";
        }
        boolean advised = step.workflow().queue().advice().isPresent();
        return advised && advice.tickets(step.id(), nowMilliseconds).isEmpty()
                ? "no_ticket"
                : "no_worker_fits";
    }

    /**
     * Asks the advisor about a step with waiting tasks; examines workers only if a daemon is free.
     */
    private void askAdvice(
            long nowMilliseconds,
            ReadyStep step,
            PoolCapacity pool,
            int waiting,
            long urgency,
            LeaderOutput output) {
        if (step.workflow().queue().advice().isEmpty()) {
            return;
        }
        if (waiting > 0 && advice.canAsk(step.id(), nowMilliseconds)) {
            search.enqueueQuestions(nowMilliseconds, step, pool, waiting, urgency, output);
        }
    }

    /** Returns how many workers were examined so far, counting a worker once for each step. */
    long examinedWorkers() {
        return search.examinedWorkers();
    }

    private ServiceName poolOf(ReadyStep step) {
        return feasibility.poolOf(step.workflow(), step.tasks().definition());
    }

    private static PoolCapacity pool(
            Map<ServiceName, PoolCapacity> usableWorkers, ServiceName pool) {
        return usableWorkers.computeIfAbsent(pool, name -> new PoolCapacity());
    }

    private static void propose(List<RunPlacement> placements, LeaderOutput output) {
        if (!placements.isEmpty()) {
            output.propose(new StartRuns(List.copyOf(placements)));
        }
    }

    /**
     * Returns the capacity for a round without ready steps, which needs it only if work is left.
     */
    private Map<ServiceName, PoolCapacity> idleCapacity(long nowMilliseconds) {
        return ledger.active().isEmpty() ? Map.of() : usable.byPool(nowMilliseconds);
    }

    private List<RunPlacement> place(
            long nowMilliseconds,
            ReadyStep step,
            PoolCapacity pool,
            Optional<TeamDefinition> team) {
        List<WorkerCapacity> workers = search.findCandidates(nowMilliseconds, step, pool, team);
        if (workers.isEmpty()) {
            return List.of();
        }
        StepCandidates candidates =
                new StepCandidates(step, team, pool, workers, workerPreference.forStep(step));
        return step.tasks().definition().gang()
                ? placer.placeGang(nowMilliseconds, candidates)
                : placer.placeSingles(nowMilliseconds, candidates);
    }
}
