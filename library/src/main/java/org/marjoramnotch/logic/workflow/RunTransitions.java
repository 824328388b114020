package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.AppliedEnd;
import org.marjoramnotch.model.workflow.NextLifeStarts;
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
     * @param nextLifeStarts what the next incarnation may have carried out; empty if this is not
     *     known
     */
    List<AppliedEnd> lapseAll(WorkerEntry worker, Optional<NextLifeStarts> nextLifeStarts) {
        List<AppliedEnd> applied = new ArrayList<>();
        List<WorkflowTaskId> lapsed = new ArrayList<>();
        for (ActiveRun run : List.copyOf(worker.runs())) {
            lapsed.add(run.run().task());
            end(Optional.of(worker), new RunEnd(run.run(), RunOutcome.LAPSED, ""), applied);
        }
        NextLifeStarts starts = nextLifeStarts.orElse(new NextLifeStarts(lapsed, List.of()));
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
        if (entry == null || worker == null || worker.worker().draining()) {
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
        TaskState task = entry.task(id).orElseThrow();
        task.start(placement.run().number(), placement.worker().worker());
        entry.countStart();
        addRun(ledger.worker(placement.worker()).orElseThrow(), entry, placement.run());
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
        ends.ends().forEach(end -> end(worker, end, applied));
        return applied;
    }

    /** Returns what an end would change now. */
    RunEndEffect effectOf(Optional<WorkerEntry> worker, RunEnd end) {
        RunId run = end.run();
        WorkflowEntry entry = ledger.workflow(run.task().step().workflow()).orElse(null);
        if (entry == null) {
            return RunEndEffect.UNKNOWN_TASK;
        }
        TaskState task = entry.task(run.task()).orElse(null);
        if (task == null) {
            return entry.state().isFinal()
                    ? RunEndEffect.WORKFLOW_ENDED
                    : RunEndEffect.UNKNOWN_TASK;
        }
        if (task.run() != run.number()) {
            return task.run() > run.number() ? RunEndEffect.LATER_RUN : RunEndEffect.NEVER_STARTED;
        }
        if (task.isRunning()) {
            boolean running = worker.map(present -> present.has(run)).orElse(false);
            return running ? RunEndEffect.ENDED : RunEndEffect.OTHER_WORKER;
        }
        if (!task.isWaiting()) {
            return RunEndEffect.TASK_COMPLETE;
        }
        // A run recorded as lapsed may turn out to have completed its work before.
        return end.outcome() == RunOutcome.DONE
                ? RunEndEffect.COMPLETED
                : RunEndEffect.ALREADY_ENDED;
    }

    private void end(Optional<WorkerEntry> worker, RunEnd end, List<AppliedEnd> applied) {
        RunEndEffect effect = effectOf(worker, end);
        applied.add(new AppliedEnd(end, effect));
        if (!effect.isEffective()) {
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
        if (end.outcome() == RunOutcome.DONE) {
            completeTasks(entry, step, run, applied);
        } else if (end.outcome() == RunOutcome.FAILED) {
            recordFailure(entry, step, task);
        }
        if (running) {
            entry.countEnd();
        } else {
            entry.completeIfDone();
        }
        ledger.onRunEnded(entry);
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
                entry.countEnd();
                applied.add(
                        new AppliedEnd(
                                new RunEnd(memberRun, RunOutcome.DONE, ""),
                                RunEndEffect.ENDED_WITH_GANG));
            } else {
                step.finish(member);
            }
        }
    }

    private static void recordFailure(WorkflowEntry entry, StepTasks step, TaskState task) {
        int failures = step.countFailure(task);
        if (!step.definition().standing() && failures >= entry.queue().mostFailures()) {
            entry.end(WorkflowState.FAILED);
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
