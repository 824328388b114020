package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.budget.HeldBytes;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowRecord;
import org.marjoramnotch.model.workflow.WorkflowState;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** State of a workflow in the ledger. */
final class WorkflowEntry {
    private Workflow workflow;
    private QueueDefinition queue;
    private WorkflowState state;
    private Occurrences occurrences;
    private final List<ServiceName> formerPools = new ArrayList<>();
    private @Nullable String failure;
    private int running;
    private long definitionBytes;

    /** What the ledger counts for this workflow. */
    private long countedBytes;

    WorkflowEntry(Workflow workflow, QueueDefinition queue) {
        this.workflow = workflow;
        this.queue = queue;
        this.state = WorkflowState.QUEUED;
        this.occurrences = new Occurrences(workflow.steps(), workflow.occurrences());
        this.definitionBytes = HeldBytes.ofDefinition(workflow.payload(), workflow.steps());
    }

    WorkflowEntry(WorkflowRecord stored, QueueDefinition queue) {
        workflow = stored.workflow();
        this.queue = queue;
        state = stored.state();
        formerPools.addAll(stored.formerPools());
        failure = stored.failure().orElse(null);
        occurrences = Occurrences.of(stored);
        running = running().size();
        definitionBytes = HeldBytes.ofDefinition(workflow.payload(), workflow.steps());
    }

    /** Returns what a workflow takes once it is submitted. */
    static long heldBytes(Workflow workflow) {
        return HeldBytes.ofWorkflow(
                HeldBytes.ofDefinition(workflow.payload(), workflow.steps()),
                new Occurrences(workflow.steps(), workflow.occurrences()).heldTasks(),
                0);
    }

    /** Returns by how much the bytes that this workflow takes have changed since the last call. */
    long takeChangeOfBytes() {
        boolean over = state.isFinal() && running == 0;
        long bytes =
                over
                        ? HeldBytes.ofEndedWorkflow()
                        : HeldBytes.ofWorkflow(definitionBytes, occurrences.heldTasks(), running);
        long change = bytes - countedBytes;
        countedBytes = bytes;
        return change;
    }

    /** Returns the bytes that the ledger counts for this workflow. */
    long countedBytes() {
        return countedBytes;
    }

    WorkflowRecord snapshot() {
        return new WorkflowRecord(
                workflow,
                queue,
                state,
                List.of(),
                List.copyOf(formerPools),
                Optional.ofNullable(failure),
                occurrences.snapshotStarted(),
                occurrences.snapshotDone());
    }

    Workflow workflow() {
        return workflow;
    }

    JobId id() {
        return workflow.id();
    }

    QueueDefinition queue() {
        return queue;
    }

    /** Replaces the definition of the queue, and keeps the pool that it was sent to before. */
    void updateQueue(QueueDefinition newQueue) {
        if (!newQueue.pool().equals(queue.pool())) {
            formerPools.remove(newQueue.pool());
            formerPools.add(queue.pool());
        }
        queue = newQueue;
    }

    /** Returns the other pools that the queue was sent to since the acceptance, oldest first. */
    List<ServiceName> formerPools() {
        return Collections.unmodifiableList(formerPools);
    }

    /** Ends the workflow, which can never be done. */
    void giveUp(String reason) {
        if (!state.isFinal()) {
            failure = reason;
            end(WorkflowState.FAILED);
        }
    }

    /** Returns why the workflow was given up, if it was. */
    Optional<String> failure() {
        return Optional.ofNullable(failure);
    }

    WorkflowState state() {
        return state;
    }

    /** Returns the first occurrence from a given one on that is not done, or -1 if none is. */
    int nextOpenOccurrence(int from) {
        return occurrences.nextOpen(from);
    }

    /** Returns the steps of an occurrence that is not done; callers must not change them. */
    List<StepTasks> steps(int occurrence) {
        return occurrences.steps(occurrence);
    }

    /** Returns the steps of the occurrences of which a task was started and that are not done. */
    Map<Integer, List<StepTasks>> startedOccurrences() {
        return occurrences.started();
    }

    /** Returns whether all tasks of an occurrence are done. */
    boolean isDone(int occurrence) {
        return occurrences.isDone(occurrence);
    }

    /** Returns whether a task of a step has ever been placed on a worker, in any occurrence. */
    boolean wasPlaced(int step) {
        return occurrences.wasPlaced(step);
    }

    /** Returns a step of an occurrence that is not done. */
    Optional<StepTasks> step(StepId id) {
        if (!occurrences.isOpen(id.occurrence())) {
            return Optional.empty();
        }
        List<StepTasks> steps = occurrences.steps(id.occurrence());
        return id.step() >= 0 && id.step() < steps.size()
                ? Optional.of(steps.get(id.step()))
                : Optional.empty();
    }

    Optional<TaskState> task(WorkflowTaskId id) {
        return step(id.step())
                .filter(step -> id.index() >= 0 && id.index() < step.tasks().size())
                .map(step -> step.tasks().get(id.index()));
    }

    /** Returns the running tasks by their runs. */
    Map<RunId, TaskState> running() {
        Map<RunId, TaskState> runs = new LinkedHashMap<>();
        occurrences
                .started()
                .forEach(
                        (occurrence, steps) -> {
                            for (int step = 0; step < steps.size(); step++) {
                                steps.get(step)
                                        .addRunning(new StepId(id(), occurrence, step), runs);
                            }
                        });
        return runs;
    }

    /**
     * Returns the waiting tasks whose last run ended with the incarnation of its worker, if the
     * next one may have carried out its start.
     */
    Map<WorkflowTaskId, TaskState> endedUnseen() {
        Map<WorkflowTaskId, TaskState> found = new LinkedHashMap<>();
        occurrences
                .started()
                .forEach(
                        (occurrence, steps) -> {
                            for (int step = 0; step < steps.size(); step++) {
                                StepId id = new StepId(id(), occurrence, step);
                                steps.get(step).addEndedUnseen(id, found);
                            }
                        });
        return found;
    }

    /** Returns whether all predecessors of a step are done. */
    boolean isReady(int occurrence, int step) {
        List<StepTasks> steps = occurrences.steps(occurrence);
        for (int earlier : steps.get(step).definition().after()) {
            if (!steps.get(earlier).isDone()) {
                return false;
            }
        }
        return true;
    }

    /** Starts a task of an occurrence that is not done. */
    void start(RunId run, WorkerId worker) {
        occurrences.begin(run.task().step().occurrence());
        task(run.task()).orElseThrow().start(run.number(), worker);
        running++;
        if (state == WorkflowState.QUEUED) {
            state = WorkflowState.RUNNING;
        }
    }

    /** Counts the end of a run; drops the tasks of an ended workflow after its last run. */
    void countEnd(int occurrence) {
        running--;
        completeIfDone(occurrence);
        dropTasksIfOver();
    }

    void end(WorkflowState finalState) {
        if (!state.isFinal()) {
            state = finalState;
            dropTasksIfOver();
        }
    }

    /** Completes the workflow if an occurrence whose tasks have changed was the last one. */
    void completeIfDone(int occurrence) {
        occurrences.settle(occurrence);
        if (!state.isFinal() && occurrences.areAllDone()) {
            end(WorkflowState.COMPLETE);
        }
    }

    private void dropTasksIfOver() {
        if (state.isFinal() && running == 0) {
            occurrences = Occurrences.none();
            formerPools.clear();
            workflow =
                    new Workflow(
                            workflow.id(),
                            workflow.queue(),
                            workflow.team(),
                            "",
                            List.of(),
                            Optional.empty(),
                            workflow.submittedEpochMilliseconds());
        }
    }
}
