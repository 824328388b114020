package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
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
                        .toList());
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

    void updateQueue(QueueDefinition newQueue) {
        queue = newQueue;
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
     * Returns the waiting tasks whose last run ended with the incarnation of its worker, with that
     * worker.
     */
    Map<WorkflowTaskId, WorkerId> endedUnseen() {
        Map<WorkflowTaskId, WorkerId> found = new LinkedHashMap<>();
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
