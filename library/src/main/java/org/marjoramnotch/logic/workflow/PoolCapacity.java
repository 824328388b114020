package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.List;
import org.marjoramnotch.model.resource.Resources;

/**
 * The usable workers of a pool in one scheduling round, ordered by free processor capacity so that
 * a step examines only workers with enough of it.
 */
final class PoolCapacity {
    private final List<WorkerCapacity> workers = new ArrayList<>();
    private boolean ordered;

    /** Adds a worker; workers must be added in the order of their names. */
    void add(WorkerCapacity worker) {
        workers.add(worker);
        ordered = false;
    }

    int size() {
        return workers.size();
    }

    /** Returns the capacity of all workers, in thousandths of a processor. */
    long totalProcessorMillis() {
        return workers.stream()
                .mapToLong(worker -> worker.entry().worker().capacity().processorMillis())
                .sum();
    }

    /** Returns the capacity that is not reserved, in thousandths of a processor. */
    long freeProcessorMillis() {
        return workers.stream().mapToLong(WorkerCapacity::freeProcessorMillis).sum();
    }

    /** Returns the workers by decreasing free processor capacity, then by name. */
    List<WorkerCapacity> mostFreeFirst() {
        if (!ordered) {
            workers.sort(PoolCapacity::compare);
            ordered = true;
        }
        return workers;
    }

    /** Reserves capacity of a worker for a decided start. */
    void reserve(WorkerCapacity worker, Resources resources) {
        int index = mostFreeFirst().indexOf(worker);
        worker.reserve(resources);
        while (index + 1 < workers.size() && compare(worker, workers.get(index + 1)) > 0) {
            workers.set(index, workers.get(index + 1));
            index++;
        }
        workers.set(index, worker);
    }

    /** Releases the capacity reserved for a dropped start. */
    void release(WorkerCapacity worker, Resources resources) {
        int index = mostFreeFirst().indexOf(worker);
        worker.release(resources);
        while (index > 0 && compare(worker, workers.get(index - 1)) < 0) {
            workers.set(index, workers.get(index - 1));
            index--;
        }
        workers.set(index, worker);
    }

    private static int compare(WorkerCapacity one, WorkerCapacity other) {
        int byCapacity = Long.compare(other.freeProcessorMillis(), one.freeProcessorMillis());
        return byCapacity != 0 ? byCapacity : Integer.compare(one.position(), other.position());
    }
}
