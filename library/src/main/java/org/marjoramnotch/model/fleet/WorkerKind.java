package org.marjoramnotch.model.fleet;

import java.util.List;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * Workers of one pool with the same capacity and labels, which are interchangeable for every task.
 *
 * @param pool the pool
 * @param capacity the capacity of each worker
 * @param labels the labels of each worker
 */
public record WorkerKind(ServiceName pool, Resources capacity, List<String> labels) {
    /** Creates an immutable kind by copying the labels. */
    public WorkerKind {
        labels = List.copyOf(labels);
    }

    /** Returns the kind of a worker. */
    public static WorkerKind of(FleetWorker worker) {
        return new WorkerKind(worker.pool(), worker.capacity(), worker.labels());
    }

    /** Returns whether an idle worker of this kind could run a task of the step. */
    public boolean serves(StepDefinition step) {
        return step.requiredLabel().map(labels::contains).orElse(true)
                && capacity.holds(step.reserved());
    }

    /** Returns how many tasks of the step an idle worker of this kind holds at once. */
    public long tasksHeld(StepDefinition step) {
        if (!serves(step)) {
            return 0;
        }
        long most = step.mostPerWorker() == 0 ? step.tasks() : step.mostPerWorker();
        Resources each = step.reserved();
        return Math.min(
                Math.min(most, quotient(capacity.processorMillis(), each.processorMillis())),
                Math.min(
                        quotient(capacity.memoryMegabytes(), each.memoryMegabytes()),
                        quotient(capacity.accelerators(), each.accelerators())));
    }

    private static long quotient(long amount, long each) {
        return each == 0 ? Long.MAX_VALUE : amount / each;
    }

    /** Returns whether this kind serves every step that the other one serves. */
    public boolean covers(WorkerKind other) {
        return pool.equals(other.pool)
                && labels.containsAll(other.labels)
                && capacity.holds(other.capacity);
    }
}
