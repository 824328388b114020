package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * Counts the tasks of one step on each worker to enforce the limit per worker, if the step has one.
 */
final class SpreadLimit {
    private final int maximum;
    private final Map<WorkerId, Integer> counts = new HashMap<>();

    SpreadLimit(ReadyStep step, CapacityView capacity) {
        maximum = step.tasks().definition().mostPerWorker();
        if (maximum == 0) {
            return;
        }
        List<TaskState> tasks = step.tasks().tasks();
        for (int index = 0; index < tasks.size(); index++) {
            TaskState task = tasks.get(index);
            Optional<WorkerId> running = task.isRunning() ? task.worker() : Optional.empty();
            Optional<WorkerId> decided =
                    capacity.decidedWorker(new WorkflowTaskId(step.id(), index));
            running.ifPresent(this::add);
            decided.filter(worker -> !running.equals(Optional.of(worker))).ifPresent(this::add);
        }
    }

    boolean allows(WorkerId worker) {
        return maximum == 0 || counts.getOrDefault(worker, 0) < maximum;
    }

    /** Returns how many more tasks of the step a worker may take. */
    int remaining(WorkerId worker) {
        return maximum == 0
                ? Integer.MAX_VALUE
                : Math.max(0, maximum - counts.getOrDefault(worker, 0));
    }

    void add(WorkerId worker) {
        counts.merge(worker, 1, Integer::sum);
    }
}
