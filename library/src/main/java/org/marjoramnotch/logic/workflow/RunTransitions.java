package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.AppliedEnd;
import org.marjoramnotch.model.workflow.NextLifeEvidence;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunEndEffect;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowState;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * Starts and ends runs in the ledger and accounts for the resources that they use on workers and in
 * teams.
 */
final class RunTransitions {
    private final WorkflowLedger ledger;
    private final TeamConsumption consumption;

    RunTransitions(WorkflowLedger ledger, TeamConsumption consumption) {
        this.ledger = ledger;
        this.consumption = consumption;
    }

    /**
     * Ends all runs of a worker incarnation that is over.
     *
     * @param nextLifeEvidence what the next incarnation may have carried out; empty if this is not
     *     known
     */
    List<AppliedEnd> lapseAll(WorkerEntry worker, Optional<NextLifeEvidence> nextLifeEvidence) {
        List<AppliedEnd> applied = new ArrayList<>();
        List<WorkflowTaskId> lapsed = new ArrayList<>();
        for (ActiveRun run : List.copyOf(worker.runs())) {
            lapsed.add(run.run().task());
            RunEnd end = new RunEnd(run.run(), RunOutcome.LAPSED, "");
            addUnlistedRun(end, 0);
            end(worker.worker().incarnation(), Optional.of(worker), end, applied);
        }
        NextLifeEvidence starts =
                nextLifeEvidence.orElse(new NextLifeEvidence(lapsed, List.of(), true));
        WorkerId id = worker.worker().id();
        starts.possible()
                .forEach(task -> waitingAfterRunOn(id, task).ifPresent(TaskState::endUnseen));
        starts.certain()
                .forEach(task -> waitingAfterRunOn(id, task).ifPresent(TaskState::startByNextLife));
        return applied;
    }

    private Optional<TaskState> waitingAfterRunOn(WorkerId worker, WorkflowTaskId id) {
        return ledger.workflow(id.step().workflow())
                .flatMap(entry -> entry.task(id))
                .filter(task -> task.isWaitingAfterRunOn(worker));
    }

    /** Applies starts; the members of a gang start together or not at all. */
    void start(StartRuns start) {
        List<RunPlacement> placements = start.placements();
        boolean gang = placements.stream().anyMatch(this::isOfGang);
        if (gang && !placements.stream().allMatch(this::mayStart)) {
            return;
        }
        for (RunPlacement placement : placements) {
            if (mayStart(placement)) {
                start(placement);
            }
        }
    }

    private boolean isOfGang(RunPlacement placement) {
        StepId step = placement.run().task().step();
        return ledger.workflow(step.workflow())
                .flatMap(entry -> entry.step(step))
                .map(tasks -> tasks.definition().gang())
                .orElse(false);
    }

    private boolean mayStart(RunPlacement placement) {
        WorkflowTaskId id = placement.run().task();
        WorkflowEntry entry = ledger.activeWorkflow(id.step().workflow()).orElse(null);
        WorkerEntry worker = ledger.worker(placement.worker()).orElse(null);
        if (entry == null
                || worker == null
                || worker.worker().draining()
                || ledger.evacuations().isEvacuated(worker.worker())) {
            return false;
        }
        TaskState task = entry.task(id).orElse(null);
        return task != null
                && task.isWaiting()
                && placement.run().number() > task.run()
                && entry.isReady(id.step().occurrence(), id.step().step())
                && worker.worker()
                        .capacity()
                        .holds(worker.reserved().plus(reservedBy(entry, id.step())));
    }

    private static Resources reservedBy(WorkflowEntry entry, StepId step) {
        return entry.step(step).orElseThrow().definition().reserved();
    }

    private void start(RunPlacement placement) {
        WorkflowTaskId id = placement.run().task();
        WorkflowEntry entry = ledger.activeWorkflow(id.step().workflow()).orElseThrow();
        entry.start(placement.run(), placement.worker().worker());
        addRun(ledger.worker(placement.worker()).orElseThrow(), entry, placement.run());
        ledger.onRunChanged(entry);
    }

    private void addRun(WorkerEntry worker, WorkflowEntry entry, RunId run) {
        StepDefinition step = entry.step(run.task().step()).orElseThrow().definition();
        worker.add(new ActiveRun(run, step, entry.workflow().team()));
        consumption.add(entry.workflow().team(), step.demand());
    }

    /** Applies ends. */
    List<AppliedEnd> end(EndRuns ends) {
        // A worker that was dismissed in the meantime may have completed work before.
        Optional<WorkerEntry> worker = ledger.worker(ends.worker());
        List<AppliedEnd> applied = new ArrayList<>();
        for (RunEnd end : ends.ends()) {
            if (effectOf(ends.worker(), worker, end) == RunEndEffect.ENDED) {
                if (end.outcome() == RunOutcome.LAPSED) {
                    addUnlistedRun(end, ends.worker().startedEpochMilliseconds());
                } else if (end.outcome() == RunOutcome.NOT_STARTED) {
                    addUnlistedRun(end, 0);
                }
            }
            end(ends.worker(), worker, end, applied);
        }
        return applied;
    }

    /** Notes a run whose end no list has shown, while it is the last one of its task. */
    private void addUnlistedRun(RunEnd end, long lapsedEpochMilliseconds) {
        WorkflowTaskId id = end.run().task();
        ledger.workflow(id.step().workflow())
                .flatMap(entry -> entry.step(id.step()))
                .ifPresent(
                        step ->
                                step.addUnlistedRun(
                                        step.tasks().get(id.index()), lapsedEpochMilliseconds));
    }

    /**
     * Returns what an end would change now.
     *
     * @param lister the incarnation that lists the end
     * @param worker its entry, unless it was dismissed
     */
    RunEndEffect effectOf(WorkerIncarnation lister, Optional<WorkerEntry> worker, RunEnd end) {
        RunId run = end.run();
        WorkflowEntry entry = ledger.workflow(run.task().step().workflow()).orElse(null);
        if (entry == null) {
            return RunEndEffect.UNKNOWN_TASK;
        }
        if (entry.isDone(run.task().step().occurrence())) {
            return RunEndEffect.TASK_COMPLETE;
        }
        TaskState task = entry.task(run.task()).orElse(null);
        if (task == null) {
            return entry.state().isFinal()
                    ? RunEndEffect.WORKFLOW_ENDED
                    : RunEndEffect.UNKNOWN_TASK;
        }
        boolean running = task.isRunning() && task.run() == run.number();
        if (!running
                && end.outcome() == RunOutcome.FAILED
                && !entry.state().isFinal()
                && task.countsLateFailure(run.number(), lister)) {
            return RunEndEffect.FAILURE_COUNTED;
        }
        if (task.run() != run.number()) {
            return task.run() > run.number() ? RunEndEffect.LATER_RUN : RunEndEffect.NEVER_STARTED;
        }
        if (running) {
            boolean here = worker.map(present -> present.has(run)).orElse(false);
            return here ? RunEndEffect.ENDED : RunEndEffect.OTHER_WORKER;
        }
        if (!task.isWaiting()) {
            return RunEndEffect.TASK_COMPLETE;
        }
        // A run recorded as lapsed may turn out to have completed its work before.
        return end.outcome() == RunOutcome.DONE
                ? RunEndEffect.COMPLETED
                : RunEndEffect.ALREADY_ENDED;
    }

    private void end(
            WorkerIncarnation lister,
            Optional<WorkerEntry> worker,
            RunEnd end,
            List<AppliedEnd> applied) {
        RunEndEffect effect = effectOf(lister, worker, end);
        if (!effect.isEffective()) {
            applied.add(new AppliedEnd(end, effect));
            return;
        }
        RunId run = end.run();
        WorkflowEntry entry = ledger.workflow(run.task().step().workflow()).orElseThrow();
        StepTasks step = entry.step(run.task().step()).orElseThrow();
        TaskState task = entry.task(run.task()).orElseThrow();
        boolean running = effect == RunEndEffect.ENDED;
        if (running) {
            task.returnToWaiting(end.checkpoint());
            release(worker.orElseThrow(), entry, step, run);
        }
        int failures =
                end.outcome() == RunOutcome.FAILED ? step.countFailure(task, run.number()) : 0;
        applied.add(new AppliedEnd(end, effect, failures));
        if (end.outcome() == RunOutcome.DONE) {
            completeTasks(entry, step, run, applied);
        } else if (failures > 0
                && failures >= entry.queue().mostFailures()
                && !step.definition().standing()) {
            entry.end(WorkflowState.FAILED);
        }
        int occurrence = run.task().step().occurrence();
        if (running) {
            entry.countEnd(occurrence);
        } else {
            entry.completeIfDone(occurrence);
        }
        ledger.onRunChanged(entry);
    }

    private void release(WorkerEntry worker, WorkflowEntry entry, StepTasks step, RunId run) {
        worker.remove(run);
        consumption.remove(entry.workflow().team(), step.definition().demand());
    }

    private void completeTasks(
            WorkflowEntry entry, StepTasks step, RunId run, List<AppliedEnd> applied) {
        if (step.definition().standing()) {
            return;
        }
        if (!step.definition().gang()) {
            step.finish(entry.task(run.task()).orElseThrow());
            return;
        }
        for (int index = 0; index < step.tasks().size(); index++) {
            TaskState member = step.tasks().get(index);
            RunId memberRun = new RunId(new WorkflowTaskId(run.task().step(), index), run.number());
            if (member.isRunning()) {
                ledger.worker(member.worker().orElseThrow())
                        .ifPresent(worker -> release(worker, entry, step, memberRun));
                member.returnToWaiting("");
                step.finish(member);
                entry.countEnd(run.task().step().occurrence());
                applied.add(
                        new AppliedEnd(
                                new RunEnd(memberRun, RunOutcome.DONE, ""),
                                RunEndEffect.ENDED_WITH_GANG));
            } else {
                step.finish(member);
            }
        }
    }

    /** Accounts for the resources of the runs of a restored workflow. */
    void restore(WorkflowEntry entry) {
        entry.running()
                .forEach(
                        (run, task) ->
                                addRun(
                                        ledger.worker(task.worker().orElseThrow()).orElseThrow(),
                                        entry,
                                        run));
    }
}
