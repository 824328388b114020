package org.marjoramnotch.logic.workflow;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.TaskRecord;
import org.marjoramnotch.model.workflow.UnlistedRun;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** The tasks of a step in one occurrence of its workflow. */
final class StepTasks {
    private final StepDefinition definition;
    private final List<TaskState> tasks;
    private int done;
    private long lastFailedRun;
    private int gangFailures;

    StepTasks(StepDefinition definition) {
        this.definition = definition;
        this.tasks =
                IntStream.range(0, definition.tasks()).mapToObj(index -> new TaskState()).toList();
    }

    StepTasks(StepDefinition definition, List<TaskRecord> records) {
        this.definition = definition;
        this.tasks = records.stream().map(TaskState::of).toList();
        this.done = (int) tasks.stream().filter(StepTasks::isDone).count();
        if (definition.gang()) {
            gangFailures = tasks.stream().mapToInt(TaskState::failures).sum();
            lastFailedRun = tasks.stream().mapToLong(TaskState::failedRun).max().orElse(0);
        }
    }

    StepDefinition definition() {
        return definition;
    }

    List<TaskState> tasks() {
        return tasks;
    }

    boolean isDone() {
        return done == tasks.size();
    }

    /** Returns whether any task is waiting. */
    boolean hasWaiting() {
        for (TaskState task : tasks) {
            if (task.isWaiting()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a task of the step has ever been placed on a worker. */
    boolean wasPlaced() {
        return tasks.stream().anyMatch(task -> task.run() > 0);
    }

    int doneCount() {
        return done;
    }

    int countRunning() {
        int running = 0;
        for (TaskState task : tasks) {
            if (task.isRunning()) {
                running++;
            }
        }
        return running;
    }

    void finish(TaskState task) {
        if (!isDone(task)) {
            task.finish();
            done++;
        }
    }

    /**
     * Counts a failed run and returns how often the task has failed. Failures of several gang
     * members in the same run count as one failure of the gang.
     */
    int countFailure(TaskState task, long run) {
        if (!definition.gang()) {
            task.countFailure(run);
            return task.failures();
        }
        if (run != lastFailedRun) {
            lastFailedRun = Math.max(lastFailedRun, run);
            gangFailures++;
            task.countFailure(run);
        }
        tasks.forEach(member -> member.forgetUnlistedRun(run));
        return gangFailures;
    }

    /** Notes that the last run of a task is recorded as over although no list has shown its end. */
    void addUnlistedRun(TaskState task, long lapsedEpochMilliseconds) {
        boolean counted = definition.gang() && task.run() == lastFailedRun;
        if (!counted) {
            task.addUnlistedRun(new UnlistedRun(task.run(), lapsedEpochMilliseconds));
        }
    }

    /** Adds the running tasks to a map by their runs. */
    void addRunning(StepId id, Map<RunId, TaskState> runs) {
        for (int index = 0; index < tasks.size(); index++) {
            TaskState task = tasks.get(index);
            if (task.isRunning()) {
                runs.put(new RunId(new WorkflowTaskId(id, index), task.run()), task);
            }
        }
    }

    /** Adds the waiting tasks whose last run ended unseen to a map. */
    void addEndedUnseen(StepId id, Map<WorkflowTaskId, TaskState> found) {
        for (int index = 0; index < tasks.size(); index++) {
            TaskState task = tasks.get(index);
            if (task.mayHaveStartedUnseen() && task.worker().isPresent()) {
                found.put(new WorkflowTaskId(id, index), task);
            }
        }
    }

    private static boolean isDone(TaskState task) {
        return task.phase() == TaskState.Phase.DONE;
    }
}
