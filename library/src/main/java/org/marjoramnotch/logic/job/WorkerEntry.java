package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.List;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.resource.Resources;

/** A registered worker with its free capacity and its runs. */
final class WorkerEntry {
    final WorkerDescription description;
    final long epoch;
    private final List<TaskEntry> runs = new ArrayList<>();
    private Resources free;

    WorkerEntry(WorkerDescription description, long epoch) {
        this.description = description;
        this.epoch = epoch;
        this.free = description.capacity();
    }

    WorkerId id() {
        return description.worker();
    }

    Resources free() {
        return free;
    }

    List<TaskEntry> runs() {
        return runs;
    }

    void add(TaskEntry task) {
        Resources needed = task.job.perTask();
        Invariant.check(free.holds(needed), "Worker " + id() + " would be overcommitted");
        free = free.minus(needed);
        task.worker = this;
        task.indexOnWorker = runs.size();
        runs.add(task);
    }

    /** Frees the resources of a run, in constant time: the last run takes its index. */
    void remove(TaskEntry task) {
        Invariant.check(
                task.worker == this, "A run was removed from a worker that does not run it");
        TaskEntry last = runs.remove(runs.size() - 1);
        if (last != task) {
            runs.set(task.indexOnWorker, last);
            last.indexOnWorker = task.indexOnWorker;
        }
        task.worker = null;
        free = free.plus(task.job.perTask());
        Invariant.check(
                description.capacity().holds(free),
                "Worker " + id() + " has more free than its capacity");
    }
}
