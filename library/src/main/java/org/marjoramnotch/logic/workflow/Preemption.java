package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.preemption.PoolState;
import org.marjoramnotch.logic.preemption.PreemptionCandidate;
import org.marjoramnotch.logic.preemption.PreemptionPlan;
import org.marjoramnotch.logic.preemption.PreemptionPlanner;
import org.marjoramnotch.logic.preemption.ReservedCapacity;
import org.marjoramnotch.logic.preemption.RunHistory;
import org.marjoramnotch.logic.preemption.StopTimes;
import org.marjoramnotch.logic.preemption.UrgentStep;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.ForgetWorkflows;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.AppliedEnd;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Stops runs of lower priority for steps of the highest priority that would start late, and keeps
 * the capacity that they free for these steps. The state is an estimate of one leader.
 */
final class Preemption {
    /** Minimum time between two plans, which examine all runs of a pool. */
    private static final long PLAN_INTERVAL_MILLISECONDS = 50;

    private final boolean enabled;
    private final WorkflowLedger ledger;
    private final RunHistory history;
    private final ReservedCapacity reserved = new ReservedCapacity();
    private final StopTimes stopTimes = new StopTimes();
    private final RunStopper stopper;
    private final UrgentStepFactory urgentSteps;
    private final PreemptionCandidates candidates;
    private final PreemptionLog log = new PreemptionLog();
    private final Map<ServiceName, List<WaitingStep>> urgent = new LinkedHashMap<>();
    private long nextPlanAt;

    /** A step of the highest priority for which no capacity was found, with its waiting tasks. */
    private record WaitingStep(ReadyStep step, int waiting) {}

    Preemption(
            WorkflowSettings settings,
            WorkflowLedger ledger,
            WorkerSessions sessions,
            AdviceBroker advice,
            LatencyObjectives objectives,
            long nowMilliseconds) {
        this.enabled = settings.preemption();
        this.ledger = ledger;
        this.urgentSteps = new UrgentStepFactory(ledger, advice, reserved);
        this.history = new RunHistory(nowMilliseconds);
        this.stopper = new RunStopper(ledger, sessions, stopTimes);
        this.candidates = new PreemptionCandidates(ledger, sessions, objectives, history, reserved);
        for (WorkerEntry worker : ledger.workers()) {
            worker.runs()
                    .forEach(
                            run ->
                                    history.addInherited(
                                            run.run(),
                                            worker.worker().pool(),
                                            run.step().reserved().processorMillis()));
        }
    }

    /** Returns how runs are stopped, so that the time of each stop is measured. */
    RunStopper stopper() {
        return stopper;
    }

    /** Handles the application of a command; to be called before the ends are acted on. */
    void onApplied(long nowMilliseconds, WorkflowCommand command, CommandResult result) {
        if (command instanceof StartRuns start) {
            start.placements().forEach(placement -> onStarted(nowMilliseconds, placement));
        }
        if (command instanceof ForgetWorkflows forget) {
            forget.workflows().forEach(history::forget);
        }
        if (result instanceof CommandResult.RunsEnded ended) {
            ended.ends().forEach(end -> onEnded(nowMilliseconds, end));
        }
    }

    private void onStarted(long nowMilliseconds, RunPlacement placement) {
        ledger.worker(placement.worker())
                .filter(worker -> worker.has(placement.run()))
                .ifPresent(
                        worker ->
                                history.onStarted(
                                        nowMilliseconds,
                                        placement.run(),
                                        worker.worker().pool(),
                                        definition(placement.run().task().step())
                                                .map(step -> step.reserved().processorMillis())
                                                .orElse(0L),
                                        !placement.checkpoint().isEmpty()));
    }

    private void onEnded(long nowMilliseconds, AppliedEnd applied) {
        if (!applied.effect().isEffective()) {
            return;
        }
        boolean preempted = reserved.onEnded(nowMilliseconds, applied.end().run());
        stopTimes.onEnded(nowMilliseconds, applied.end());
        history.onEnded(nowMilliseconds, applied.end(), preempted);
        JobId workflow = applied.end().run().task().step().workflow();
        if (ledger.activeWorkflow(workflow).isEmpty()) {
            history.forget(workflow);
        }
    }

    /** Begins a scheduling round. */
    void beginRound(long nowMilliseconds) {
        urgent.clear();
        if (!reserved.isEmpty()) {
            reserved.expire(
                    nowMilliseconds, this::waitingOf, worker -> ledger.worker(worker).isPresent());
        }
    }

    /** Returns what must stay free on a worker for urgent steps. */
    Resources keptOn(WorkerEntry worker) {
        return reserved.isEmpty() ? Resources.NONE : reserved.keptOn(worker.worker().incarnation());
    }

    /** Makes what is kept for a step available to it, before it is placed. */
    void makeAvailable(ReadyStep step, PoolCapacity pool) {
        if (!reserved.isEmpty()) {
            forKept(step.id(), pool, pool::release);
        }
    }

    /** Keeps the rest of it, after the step was placed. */
    void keepRest(ReadyStep step, PoolCapacity pool, List<RunPlacement> placed) {
        if (!reserved.isEmpty()) {
            placed.forEach(placement -> reserved.onPlaced(step.id(), placement.worker()));
            forKept(step.id(), pool, pool::reserve);
        }
    }

    private interface CapacityChange {
        void apply(WorkerCapacity worker, Resources resources);
    }

    private void forKept(StepId step, PoolCapacity pool, CapacityChange change) {
        for (WorkerIncarnation worker : reserved.workersOf(step)) {
            Resources kept = reserved.keptOn(worker, step);
            List.copyOf(pool.mostFreeFirst()).stream()
                    .filter(present -> present.entry().worker().incarnation().equals(worker))
                    .forEach(present -> change.apply(present, kept));
        }
    }

    /**
     * Notes a step that was placed in this round.
     *
     * @param waiting how many of its tasks still wait
     * @param withinLimit whether the limit of its team lets another of them start
     */
    void offer(ReadyStep step, ServiceName pool, int waiting, boolean withinLimit) {
        if (enabled && waiting > 0 && withinLimit && step.workflow().queue().priority() == 0) {
            urgent.computeIfAbsent(pool, name -> new ArrayList<>())
                    .add(new WaitingStep(step, waiting));
        }
    }

    /** Stops runs for the steps that were offered in this round. */
    void plan(
            long nowMilliseconds,
            Map<ServiceName, PoolCapacity> usableWorkers,
            CapacityView capacity,
            LeaderOutput output) {
        if (urgent.isEmpty() || nowMilliseconds < nextPlanAt) {
            return;
        }
        urgent.forEach(
                (name, steps) -> {
                    PoolCapacity pool = usableWorkers.get(name);
                    if (pool != null) {
                        plan(nowMilliseconds, name, pool, steps, capacity, output);
                    }
                });
    }

    private void plan(
            long nowMilliseconds,
            ServiceName name,
            PoolCapacity pool,
            List<WaitingStep> waiting,
            CapacityView capacity,
            LeaderOutput output) {
        OptionalDouble freed = history.freedPerMillisecond(nowMilliseconds, name);
        if (freed.isEmpty()) {
            return;
        }
        PoolState state =
                new PoolState(
                        nowMilliseconds,
                        stopTimes.milliseconds(),
                        pool.totalProcessorMillis(),
                        reserved.stoppingProcessorMillis(worker -> isIn(worker, name)),
                        freed.getAsDouble());
        List<UrgentStep> steps = new ArrayList<>();
        for (WaitingStep step : waiting) {
            urgentSteps
                    .create(state, step.step(), step.waiting(), pool, capacity)
                    .ifPresent(steps::add);
        }
        List<UrgentStep> late = PreemptionPlanner.findLate(state, steps);
        if (late.isEmpty()) {
            return;
        }
        boolean useful =
                PreemptionPlanner.mayStopMore(state)
                        && late.stream()
                                .anyMatch(step -> PreemptionPlanner.canBeInTime(state, step));
        if (useful) {
            nextPlanAt = nowMilliseconds + PLAN_INTERVAL_MILLISECONDS;
        }
        List<PreemptionCandidate> offered =
                useful ? candidates.collect(nowMilliseconds, pool) : List.of();
        PreemptionPlan plan = PreemptionPlanner.plan(state, late, offered, rooms(pool, state));
        log.log(state, plan, late, history, output);
        apply(nowMilliseconds, plan, output);
    }

    private void apply(long nowMilliseconds, PreemptionPlan plan, LeaderOutput output) {
        reserved.add(nowMilliseconds, plan);
        for (PreemptionPlan.Stop stop : plan.stops()) {
            for (PreemptionCandidate.Part part : stop.candidate().parts()) {
                history.onPreempted(part.run().task());
                stopper.stop(nowMilliseconds, part.worker().worker(), part.run(), output);
            }
        }
    }

    private boolean isIn(WorkerIncarnation worker, ServiceName pool) {
        return ledger.worker(worker).map(entry -> entry.worker().pool().equals(pool)).orElse(false);
    }

    private Map<WorkerIncarnation, Resources> rooms(PoolCapacity pool, PoolState state) {
        Map<WorkerIncarnation, Resources> rooms = new LinkedHashMap<>();
        long lostBefore = state.nowMilliseconds() - state.stopMilliseconds();
        for (WorkerCapacity worker : pool.mostFreeFirst()) {
            WorkerIncarnation incarnation = worker.entry().worker().incarnation();
            rooms.put(incarnation, worker.free().plus(reserved.surplusOn(incarnation, lostBefore)));
        }
        return rooms;
    }

    private int waitingOf(StepId step) {
        return ledger.activeWorkflow(step.workflow())
                .flatMap(entry -> entry.step(step))
                .map(tasks -> (int) tasks.tasks().stream().filter(TaskState::isWaiting).count())
                .orElse(0);
    }

    private Optional<StepDefinition> definition(StepId step) {
        return ledger.workflow(step.workflow())
                .flatMap(entry -> entry.step(step))
                .map(StepTasks::definition);
    }
}
