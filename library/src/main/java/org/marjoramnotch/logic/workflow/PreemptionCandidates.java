package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.marjoramnotch.logic.preemption.PreemptionCandidate;
import org.marjoramnotch.logic.preemption.PreemptionLoss;
import org.marjoramnotch.logic.preemption.ReservedCapacity;
import org.marjoramnotch.logic.preemption.RunHistory;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;

/** Collects the runs of a pool that could be stopped, with what they would lose. */
final class PreemptionCandidates {
    /** Time that a task needs to load its checkpoint; workers do not report it. Assumed. */
    private static final long RESTORE_MILLISECONDS = 500;

    /** Time for which a standing task is absent: a stop, and a start on another worker. */
    private static final long ABSENCE_MILLISECONDS = 2_000;

    /** Multiple of the objective after its end at which a result is worthless. */
    private static final int OBJECTIVES_FROM_DUE_TO_WORTHLESS = 2;

    private static final int COMPLETE_PERCENT = 100;

    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;
    private final LatencyObjectives objectives;
    private final RunHistory history;
    private final ReservedCapacity reserved;

    PreemptionCandidates(
            WorkflowLedger ledger,
            WorkerSessions sessions,
            LatencyObjectives objectives,
            RunHistory history,
            ReservedCapacity reserved) {
        this.ledger = ledger;
        this.sessions = sessions;
        this.objectives = objectives;
        this.history = history;
        this.reserved = reserved;
    }

    /**
     * Returns the runs on the usable workers of a pool whose priority is lower than the highest.
     */
    List<PreemptionCandidate> collect(long nowMilliseconds, PoolCapacity pool) {
        List<PreemptionCandidate> candidates = new ArrayList<>();
        Set<StepId> gangs = new LinkedHashSet<>();
        Map<StepId, Boolean> absenceAllowed = new HashMap<>();
        Set<WorkerId> workers = new LinkedHashSet<>();
        for (WorkerCapacity worker : pool.mostFreeFirst()) {
            workers.add(worker.id());
            for (ActiveRun run : worker.entry().runs()) {
                StepId step = run.run().task().step();
                WorkflowEntry workflow = ledger.activeWorkflow(step.workflow()).orElse(null);
                if (workflow == null || workflow.queue().priority() == 0 || run.step().filler()) {
                    continue;
                }
                if (run.step().gang()) {
                    gangs.add(step);
                    continue;
                }
                boolean mayBeAbsent =
                        run.step().standing()
                                && absenceAllowed.computeIfAbsent(
                                        step, id -> isAbsenceAllowed(workflow, id));
                candidate(nowMilliseconds, workflow, List.of(run), mayBeAbsent)
                        .ifPresent(candidates::add);
            }
        }
        for (StepId gang : gangs) {
            addGang(nowMilliseconds, gang, workers, candidates);
        }
        return candidates;
    }

    /** Adds a gang if all its members run on the workers. */
    private void addGang(
            long nowMilliseconds,
            StepId id,
            Set<WorkerId> workers,
            List<PreemptionCandidate> candidates) {
        WorkflowEntry workflow = ledger.activeWorkflow(id.workflow()).orElseThrow();
        StepTasks step = workflow.step(id).orElseThrow();
        Map<RunId, TaskState> running = new LinkedHashMap<>();
        step.addRunning(id, running);
        boolean complete =
                running.size() == step.tasks().size()
                        && running.values().stream()
                                .allMatch(
                                        task ->
                                                task.worker()
                                                        .filter(workers::contains)
                                                        .isPresent());
        if (complete) {
            List<ActiveRun> members =
                    running.keySet().stream()
                            .map(
                                    run ->
                                            new ActiveRun(
                                                    run,
                                                    step.definition(),
                                                    workflow.workflow().team()))
                            .toList();
            candidate(nowMilliseconds, workflow, members, false).ifPresent(candidates::add);
        }
    }

    /** Returns the runs as one candidate, unless one of them is not listed or is being stopped. */
    private Optional<PreemptionCandidate> candidate(
            long nowMilliseconds,
            WorkflowEntry workflow,
            Collection<ActiveRun> runs,
            boolean mayBeAbsent) {
        List<PreemptionCandidate.Part> parts = new ArrayList<>();
        long lost = 0;
        long expectedEnd = Long.MAX_VALUE;
        int preemptions = 0;
        boolean saved = true;
        StepId id = runs.iterator().next().run().task().step();
        StepDefinition definition = runs.iterator().next().step();
        for (ActiveRun run : runs) {
            TaskState task = workflow.task(run.run().task()).orElseThrow();
            WorkerSession session = task.worker().flatMap(sessions::of).orElse(null);
            ListedRuns.ListedRun listed =
                    session == null ? null : session.unstopped(run.run()).orElse(null);
            if (session == null || listed == null || reserved.isStopping(run.run())) {
                return Optional.empty();
            }
            parts.add(
                    new PreemptionCandidate.Part(
                            run.run(), session.worker().incarnation(), definition.reserved()));
            long elapsed = elapsed(nowMilliseconds, run.run(), definition, listed);
            boolean checkpointed = isCheckpointed(definition, task, listed);
            saved &= checkpointed;
            lost =
                    Math.max(
                            lost,
                            checkpointed
                                    ? Math.min(
                                            elapsed,
                                            nowMilliseconds
                                                    - listed.checkpointSince()
                                                    + RESTORE_MILLISECONDS)
                                    : elapsed);
            expectedEnd =
                    Math.min(
                            expectedEnd,
                            expectedEnd(nowMilliseconds, run.run(), definition, listed));
            preemptions = Math.max(preemptions, history.preemptions(run.run().task()));
        }
        PreemptionLoss loss = saved ? PreemptionLoss.SINCE_CHECKPOINT : PreemptionLoss.ALL_WORK;
        if (definition.standing()) {
            loss = PreemptionLoss.ABSENCE;
            lost = ABSENCE_MILLISECONDS;
        } else if (isWorthless(nowMilliseconds, workflow, id)) {
            loss = PreemptionLoss.WORTHLESS;
        }
        return Optional.of(
                new PreemptionCandidate(
                        parts,
                        workflow.queue().priority(),
                        loss,
                        lost,
                        expectedEnd,
                        preemptions,
                        definition.filler(),
                        definition.standing() ? Optional.of(id) : Optional.empty(),
                        mayBeAbsent));
    }

    /** Returns whether the run has written a checkpoint; it may have begun with an earlier one. */
    private static boolean isCheckpointed(
            StepDefinition definition, TaskState task, ListedRuns.ListedRun listed) {
        String checkpoint = listed.status().checkpoint();
        return definition.checkpointing()
                && !checkpoint.isEmpty()
                && !checkpoint.equals(task.checkpoint());
    }

    private long elapsed(
            long nowMilliseconds,
            RunId run,
            StepDefinition definition,
            ListedRuns.ListedRun listed) {
        OptionalLong startedAt = history.startedAt(run);
        if (startedAt.isPresent()) {
            return nowMilliseconds - startedAt.getAsLong();
        }
        long byProgress =
                definition.estimateMilliseconds()
                        * listed.status().progressPercent()
                        / COMPLETE_PERCENT;
        return Math.max(nowMilliseconds - history.startMilliseconds(), byProgress);
    }

    /** Returns the earliest of the times at which the run may be expected to end. */
    private long expectedEnd(
            long nowMilliseconds,
            RunId run,
            StepDefinition definition,
            ListedRuns.ListedRun listed) {
        OptionalLong startedAt = history.startedAt(run);
        if (definition.standing() || startedAt.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long start = startedAt.getAsLong();
        long expected = Long.MAX_VALUE;
        OptionalLong mean = history.meanRunTime(run.task().step());
        // A run that takes longer than the others of its step has refuted their time.
        if (mean.isPresent() && start + mean.getAsLong() > nowMilliseconds) {
            expected = start + mean.getAsLong();
        }
        int percent = listed.status().progressPercent();
        if (percent > 0 && listed.listedAt() > start) {
            long left =
                    (listed.listedAt() - start) * Math.max(0, COMPLETE_PERCENT - percent) / percent;
            expected = Math.min(expected, listed.listedAt() + left);
        }
        return expected;
    }

    private boolean isWorthless(long nowMilliseconds, WorkflowEntry workflow, StepId step) {
        long objective = objectives.objective(workflow);
        long due = objectives.dueAt(workflow.workflow(), step.occurrence()) + objective;
        return nowMilliseconds > due + OBJECTIVES_FROM_DUE_TO_WORTHLESS * objective;
    }

    /** Returns whether a standing step bears one more absent task, and none is being stopped. */
    private boolean isAbsenceAllowed(WorkflowEntry workflow, StepId id) {
        boolean stopping =
                reserved.stoppingRuns().stream().anyMatch(run -> run.task().step().equals(id));
        StepTasks step = workflow.step(id).orElseThrow();
        Map<RunId, TaskState> running = new LinkedHashMap<>();
        step.addRunning(id, running);
        long working =
                running.entrySet().stream()
                        .filter(
                                run ->
                                        run.getValue()
                                                .worker()
                                                .flatMap(sessions::of)
                                                .flatMap(session -> session.unstopped(run.getKey()))
                                                .filter(
                                                        listed ->
                                                                listed.status().progressPercent()
                                                                        >= COMPLETE_PERCENT)
                                                .isPresent())
                        .count();
        return !stopping && step.tasks().size() - working < step.definition().mostAbsent();
    }
}
