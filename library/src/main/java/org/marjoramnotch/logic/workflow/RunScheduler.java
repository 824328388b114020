package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Schedules the tasks of ready steps on workers. */
final class RunScheduler {
    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;
    private final SpeedEstimator speeds;
    private final CapacityView capacity;
    private final LatencyObjectives objectives;
    private final StepOrdering stepOrdering;
    private final ServicePlanRanking servicePlan;
    private final WorkerPreference workerPreference;
    private final CandidateSearch search;
    private final AdviceBroker advice;
    private final TaskPlacer placer;
    private final AdvicePrefetchPolicy prefetchPolicy;
    private final LoadMeter load;
    private final Feasibility feasibility;
    private final OverdueStepTurns overdueTurns = new OverdueStepTurns();
    private final WaitingTaskLog waitingTasks = new WaitingTaskLog();

    RunScheduler(
            WorkflowLedger ledger,
            WorkerSessions sessions,
            AdviceBroker advice,
            LatencyObjectives objectives,
            SpeedEstimator speeds,
            LoadMeter load,
            Feasibility feasibility) {
        this.ledger = ledger;
        this.load = load;
        this.feasibility = feasibility;
        this.sessions = sessions;
        this.speeds = speeds;
        this.capacity = new CapacityView(ledger);
        this.objectives = objectives;
        this.servicePlan = new ServicePlanRanking(load);
        this.stepOrdering = new LatencyStepOrdering(List.of(servicePlan));
        this.advice = advice;
        this.prefetchPolicy = new AdvicePrefetchPolicy();
        this.workerPreference = new BestFitPreference();
        this.search = new CandidateSearch(advice, capacity);
        this.placer = new TaskPlacer(sessions, advice, capacity);
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
        List<ReadyStep> upcoming = new ArrayList<>();
        List<ReadyStep> ready = readySteps(nowMilliseconds, upcoming);
        if (ready.isEmpty() && upcoming.isEmpty()) {
            load.endRound(nowMilliseconds, idleCapacity(nowMilliseconds));
            return;
        }
        overdueTurns.apply(nowMilliseconds, ready);
        Map<ServiceName, PoolCapacity> usableWorkers = usableByPool(nowMilliseconds);
        List<RunPlacement> singles = new ArrayList<>();
        long askedBefore = advice.sentCount();
        int placedCount = 0;
        int urgency = 0;
        for (ReadyStep step : ready) {
            ServiceName poolName = poolOf(step);
            PoolCapacity pool = pool(usableWorkers, poolName);
            Optional<TeamDefinition> team = step.workflow().workflow().team().flatMap(ledger::team);
            List<RunPlacement> placed = place(nowMilliseconds, step, pool, team);
            int waiting = placer.countWaiting(step);
            boolean withinLimit = search.isWithinLimit(step, team);
            if (withinLimit) {
                askAdvice(nowMilliseconds, step, pool, waiting, urgency, output);
            }
            load.addWaiting(step, poolName, waiting, withinLimit);
            urgency++;
            placedCount += placed.size();
            if (step.tasks().definition().gang()) {
                propose(placed, output);
            } else {
                singles.addAll(placed);
            }
        }
        propose(singles, output);
        for (ReadyStep step : upcoming) {
            PoolCapacity pool = pool(usableWorkers, poolOf(step));
            int waiting = placer.countWaiting(step);
            askAdvice(nowMilliseconds, step, pool, waiting, urgency, output);
            urgency++;
        }
        load.endRound(nowMilliseconds, usableWorkers);
        if (placedCount > 0 || advice.sentCount() > askedBefore) {
            overdueTurns.onProductiveRound();
        }
    }

    /** Logs tasks that have waited for long; to be called about once a second. */
    void logWaiting(long nowMilliseconds, LeaderOutput output) {
        Map<ServiceName, PoolCapacity> usableWorkers = usableByPool(nowMilliseconds);
        Map<WorkflowTaskId, String> waiting = new HashMap<>();
        for (ReadyStep step : readySteps(nowMilliseconds, new ArrayList<>())) {
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
        servicePlan.logSetAside(nowMilliseconds, output);
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
        return ledger.active().isEmpty() ? Map.of() : usableByPool(nowMilliseconds);
    }

    private Map<ServiceName, PoolCapacity> usableByPool(long nowMilliseconds) {
        Map<ServiceName, PoolCapacity> usableWorkers = new HashMap<>();
        for (WorkerEntry entry : ledger.workers()) {
            WorkerSession session = sessions.of(entry.worker().incarnation()).orElse(null);
            if (session != null && session.isUsable(nowMilliseconds)) {
                PoolCapacity pool =
                        usableWorkers.computeIfAbsent(
                                entry.worker().pool(), name -> new PoolCapacity());
                pool.add(
                        new WorkerCapacity(
                                entry,
                                pool.size(),
                                capacity.reservedOn(entry),
                                session.hasRecentFailures(nowMilliseconds),
                                speeds.slowness(entry.worker().id())));
            }
        }
        return usableWorkers;
    }

    private List<ReadyStep> readySteps(long nowMilliseconds, List<ReadyStep> upcoming) {
        List<ReadyStep> ready = new ArrayList<>();
        for (WorkflowEntry entry : ledger.active()) {
            for (int occurrence = 0; occurrence < entry.occurrenceCount(); occurrence++) {
                long start = objectives.dueAt(entry.workflow(), occurrence);
                boolean due = entry.workflow().recurrence().isEmpty() || nowMilliseconds >= start;
                if (due) {
                    addReadySteps(entry, occurrence, start, ready, upcoming);
                }
            }
        }
        stepOrdering.sort(nowMilliseconds, ready);
        return ready;
    }

    private void addReadySteps(
            WorkflowEntry entry,
            int occurrence,
            long start,
            List<ReadyStep> ready,
            List<ReadyStep> upcoming) {
        List<StepTasks> steps = entry.steps(occurrence);
        for (int step = 0; step < steps.size(); step++) {
            StepTasks tasks = steps.get(step);
            StepId id = new StepId(entry.id(), occurrence, step);
            if (!hasWaiting(id, tasks)) {
                continue;
            }
            if (entry.isReady(occurrence, step)) {
                long objective = objectives.objective(entry);
                long dueAt = start + objective;
                long latest = dueAt - objectives.criticalPathFrom(entry, step);
                ready.add(new ReadyStep(entry, id, tasks, dueAt, latest, objective));
            } else if (prefetchPolicy.isSoonReady(entry, occurrence, step)) {
                upcoming.add(new ReadyStep(entry, id, tasks, start, start, 0));
            }
        }
    }

    private boolean hasWaiting(StepId id, StepTasks tasks) {
        if (tasks.isDone() || !tasks.hasWaiting()) {
            return false;
        }
        for (int index = 0; index < tasks.tasks().size(); index++) {
            if (placer.isWaiting(tasks, new WorkflowTaskId(id, index))) {
                return true;
            }
        }
        return false;
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
