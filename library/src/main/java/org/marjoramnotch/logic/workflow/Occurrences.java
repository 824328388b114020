package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.workflow.OccurrenceRecord;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.TaskRecord;
import org.marjoramnotch.model.workflow.WorkflowRecord;

/**
 * The occurrences of a workflow. An occurrence has state of its own from the first start of a task
 * until all tasks are done; before and after that it is a number, so that a workflow takes no more
 * memory for occurrences that are due in years.
 */
final class Occurrences {
    private final List<StepDefinition> definitions;
    private final int count;
    private final long tasksOfOne;
    private final boolean standing;

    /** Stands for each occurrence without a started task; never changed. */
    private @Nullable List<StepTasks> untouched;

    private final NavigableMap<Integer, List<StepTasks>> started = new TreeMap<>();
    private final BitSet done = new BitSet();

    Occurrences(List<StepDefinition> definitions, int count) {
        this.definitions = definitions;
        this.count = count;
        this.tasksOfOne = definitions.stream().mapToLong(StepDefinition::tasks).sum();
        this.standing = definitions.stream().anyMatch(StepDefinition::standing);
    }

    /** Returns the occurrences of a workflow that has ended and runs nothing any more. */
    static Occurrences none() {
        return new Occurrences(List.of(), 0);
    }

    /** Restores occurrences from a snapshot of this release or of an earlier one. */
    static Occurrences of(WorkflowRecord stored) {
        List<StepDefinition> definitions = stored.workflow().steps();
        if (definitions.isEmpty()) {
            return none();
        }
        Occurrences restored = new Occurrences(definitions, stored.workflow().occurrences());
        for (int occurrence = 0; occurrence < stored.tasks().size(); occurrence++) {
            restored.restoreEarlier(occurrence, stored.tasks().get(occurrence));
        }
        for (OccurrenceRecord record : stored.startedOccurrences()) {
            restored.started.put(record.occurrence(), restored.tasksOf(record.tasks()));
        }
        long[] words = stored.doneOccurrences().stream().mapToLong(Long::longValue).toArray();
        restored.done.or(BitSet.valueOf(words));
        return restored;
    }

    private void restoreEarlier(int occurrence, List<List<TaskRecord>> records) {
        List<StepTasks> tasks = tasksOf(records);
        if (tasks.stream().anyMatch(StepTasks::wasPlaced)) {
            started.put(occurrence, tasks);
            settle(occurrence);
        }
    }

    private List<StepTasks> tasksOf(List<List<TaskRecord>> records) {
        List<StepTasks> tasks = new ArrayList<>(records.size());
        for (int step = 0; step < records.size(); step++) {
            tasks.add(new StepTasks(definitions.get(step), records.get(step)));
        }
        return Collections.unmodifiableList(tasks);
    }

    List<OccurrenceRecord> snapshotStarted() {
        return started.entrySet().stream()
                .map(entry -> new OccurrenceRecord(entry.getKey(), recordsOf(entry.getValue())))
                .toList();
    }

    private static List<List<TaskRecord>> recordsOf(List<StepTasks> steps) {
        return steps.stream()
                .map(step -> step.tasks().stream().map(TaskState::snapshot).toList())
                .toList();
    }

    List<Long> snapshotDone() {
        return Arrays.stream(done.toLongArray()).boxed().toList();
    }

    /**
     * Returns the number of tasks with state; all occurrences without a started task count as one.
     * Tasks that last are never done, so that all occurrences of them count from the beginning.
     */
    long heldTasks() {
        if (standing) {
            return tasksOfOne * count;
        }
        int unstarted = started.size() + done.cardinality() < count ? 1 : 0;
        return tasksOfOne * (started.size() + unstarted);
    }

    /** Returns whether an occurrence exists and not all of its tasks are done. */
    boolean isOpen(int occurrence) {
        return occurrence >= 0 && occurrence < count && !done.get(occurrence);
    }

    /** Returns whether all tasks of an occurrence are done. */
    boolean isDone(int occurrence) {
        return occurrence >= 0 && done.get(occurrence);
    }

    /** Returns the first open occurrence from a given one on, or -1 if there is none. */
    int nextOpen(int from) {
        int next = done.nextClearBit(from);
        return next < count ? next : -1;
    }

    boolean areAllDone() {
        return done.cardinality() == count;
    }

    /** Returns whether a task of a step has ever been started. */
    boolean wasPlaced(int step) {
        return !done.isEmpty()
                || started.values().stream().anyMatch(steps -> steps.get(step).wasPlaced());
    }

    /** Returns the steps of an open occurrence, which callers must not change. */
    List<StepTasks> steps(int occurrence) {
        List<StepTasks> own = started.get(occurrence);
        return own == null ? untouched() : own;
    }

    /** Returns the occurrences with state of their own. */
    NavigableMap<Integer, List<StepTasks>> started() {
        return Collections.unmodifiableNavigableMap(started);
    }

    /** Gives an open occurrence state of its own, since a task of it starts. */
    void begin(int occurrence) {
        if (started.containsKey(occurrence)) {
            return;
        }
        boolean last = started.size() + done.cardinality() + 1 == count;
        started.put(occurrence, last ? untouched() : newTasks());
        if (last) {
            untouched = null;
        }
    }

    /** Drops the state of an occurrence if all of its tasks are done. */
    void settle(int occurrence) {
        List<StepTasks> own = started.get(occurrence);
        if (own != null && own.stream().allMatch(StepTasks::isDone)) {
            started.remove(occurrence);
            done.set(occurrence);
        }
    }

    private List<StepTasks> untouched() {
        List<StepTasks> tasks = untouched;
        if (tasks == null) {
            tasks = newTasks();
            untouched = tasks;
        }
        return tasks;
    }

    private List<StepTasks> newTasks() {
        return definitions.stream().map(StepTasks::new).toList();
    }
}
