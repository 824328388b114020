package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.TaskRecord;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowRecord;
import org.marjoramnotch.model.workflow.WorkflowState;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** State of a workflow in the ledger. */
final class WorkflowEntry {
    private Workflow workflow;
    private QueueDefinition queue;
    private WorkflowState state;
    private List<List<StepTasks>> occurrences;
    private final List<ServiceName> formerPools = new ArrayList<>();
    private @Nullable String failure;
    private int running;

    WorkflowEntry(Workflow workflow, QueueDefinition queue) {
        this.workflow = workflow;
        this.queue = queue;
        this.state = WorkflowState.QUEUED;
        this.occurrences =
                IntStream.range(0, workflow.occurrences())
                        .mapToObj(
                                occurrence ->
                                        workflow.steps().stream().map(StepTasks::new).toList())
                        .toList();
    }

    WorkflowEntry(WorkflowRecord stored) {
        workflow = stored.workflow();
        queue = stored.queue();
        state = stored.state();
        formerPools.addAll(stored.formerPools());
        failure = stored.failure().orElse(null);
        occurrences = new ArrayList<>();
        for (List<List<TaskRecord>> steps : stored.tasks()) {
            List<StepTasks> tasks = new ArrayList<>();
            for (int step = 0; step < steps.size(); step++) {
                tasks.add(new StepTasks(workflow.steps().get(step), steps.get(step)));
            }
            occurrences.add(tasks);
        }
        running =
                (int)
                        allSteps()
                                .flatMap(step -> step.tasks().stream())
                                .filter(TaskState::isRunning)
                                .count();
    }

    WorkflowRecord snapshot() {
        return new WorkflowRecord(
                workflow,
                queue,
                state,
                occurrences.stream()
                        .map(
                                steps ->
                                        steps.stream()
                                                .map(
                                                        step ->
                                                                step.tasks().stream()
                                                                        .map(TaskState::snapshot)
                                                                        .toList())
                                                .toList())
                        .toList(),
                List.copyOf(formerPools),
                Optional.ofNullable(failure));
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

    int occurrenceCount() {
        return occurrences.size();
    }

    /** Returns the steps of an occurrence. */
    List<StepTasks> steps(int occurrence) {
        return occurrences.get(occurrence);
    }

    /** Returns whether a task of a step has ever been placed on a worker, in any occurrence. */
    boolean wasPlaced(int step) {
        return occurrences.stream().anyMatch(steps -> steps.get(step).wasPlaced());
    }

    Optional<StepTasks> step(StepId id) {
        boolean known =
                id.occurrence() >= 0
                        && id.occurrence() < occurrences.size()
                        && id.step() >= 0
                        && id.step() < occurrences.get(id.occurrence()).size();
        return known
                ? Optional.of(occurrences.get(id.occurrence()).get(id.step()))
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
        for (int occurrence = 0; occurrence < occurrences.size(); occurrence++) {
            for (int step = 0; step < occurrences.get(occurrence).size(); step++) {
                StepId id = new StepId(id(), occurrence, step);
                occurrences.get(occurrence).get(step).addRunning(id, runs);
            }
        }
        return runs;
    }

    /**
     * Returns the waiting tasks whose last run ended with the incarnation of its worker, if the
     * next one may have carried out its start.
     */
    Map<WorkflowTaskId, TaskState> endedUnseen() {
        Map<WorkflowTaskId, TaskState> found = new LinkedHashMap<>();
        for (int occurrence = 0; occurrence < occurrences.size(); occurrence++) {
            for (int step = 0; step < occurrences.get(occurrence).size(); step++) {
                StepId id = new StepId(id(), occurrence, step);
                occurrences.get(occurrence).get(step).addEndedUnseen(id, found);
            }
        }
        return found;
    }

    /** Returns whether all predecessors of a step are done. */
    boolean isReady(int occurrence, int step) {
        List<StepTasks> steps = occurrences.get(occurrence);
        for (int earlier : steps.get(step).definition().after()) {
            if (!steps.get(earlier).isDone()) {
                return false;
            }
        }
        return true;
    }

    void countStart() {
        running++;
        if (state == WorkflowState.QUEUED) {
            state = WorkflowState.RUNNING;
        }
    }

    /** Counts the end of a run; drops the tasks of an ended workflow after its last run. */
    void countEnd() {
        running--;
        completeIfDone();
        dropTasksIfOver();
    }

    void end(WorkflowState finalState) {
        if (!state.isFinal()) {
            state = finalState;
            dropTasksIfOver();
        }
    }

    /** Completes the workflow if all its tasks are done. */
    void completeIfDone() {
        if (!state.isFinal() && allSteps().allMatch(StepTasks::isDone)) {
            end(WorkflowState.COMPLETE);
        }
    }

    private void dropTasksIfOver() {
        if (state.isFinal() && running == 0) {
            occurrences = List.of();
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

    private Stream<StepTasks> allSteps() {
        return occurrences.stream().flatMap(List::stream);
    }
}
