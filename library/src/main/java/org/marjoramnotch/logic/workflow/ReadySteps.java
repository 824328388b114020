package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.List;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Finds the steps whose tasks may start, with their objectives. */
final class ReadySteps {
    private final WorkflowLedger ledger;
    private final LatencyObjectives objectives;
    private final TaskPlacer placer;
    private final AdvicePrefetchPolicy prefetchPolicy = new AdvicePrefetchPolicy();

    ReadySteps(WorkflowLedger ledger, LatencyObjectives objectives, TaskPlacer placer) {
        this.ledger = ledger;
        this.objectives = objectives;
        this.placer = placer;
    }

    /**
     * Returns the ready steps with waiting tasks, in no particular order.
     *
     * @param upcoming receives the steps that are likely to become ready soon
     */
    List<ReadyStep> find(long nowMilliseconds, List<ReadyStep> upcoming) {
        List<ReadyStep> ready = new ArrayList<>();
        for (WorkflowEntry entry : ledger.active()) {
            objectives.forEachDue(
                    nowMilliseconds,
                    entry,
                    occurrence -> addReadySteps(entry, occurrence, ready, upcoming));
        }
        return ready;
    }

    private void addReadySteps(
            WorkflowEntry entry, int occurrence, List<ReadyStep> ready, List<ReadyStep> upcoming) {
        long start = objectives.dueAt(entry.workflow(), occurrence);
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
}
