package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Counts the tasks of one step on each worker, if the step bounds them. */
final class SpreadLimit {
    private final int most;
    private final Map<WorkerId, Integer> counts = new HashMap<>();

    SpreadLimit(ReadyStep step, CapacityView capacity) {
        most = step.tasks().definition().mostPerWorker();
        if (most == 0) {
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
        return most == 0 || counts.getOrDefault(worker, 0) < most;
    }

    /** Returns how many more tasks a worker may take. */
    int remaining(WorkerId worker) {
        return most == 0 ? Integer.MAX_VALUE : Math.max(0, most - counts.getOrDefault(worker, 0));
    }

    void add(WorkerId worker) {
        counts.merge(worker, 1, Integer::sum);
    }
}
