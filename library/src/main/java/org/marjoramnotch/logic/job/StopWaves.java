package org.marjoramnotch.logic.job;

import java.util.ArrayDeque;
import java.util.Deque;
import org.marjoramnotch.model.job.TaskPhase;

/** Tells workers to stop the runs of stopped jobs, a bounded number of tasks in each tick. */
final class StopWaves {
    private final WorkerPool pool;
    private final Deque<Wave> waves = new ArrayDeque<>();

    StopWaves(WorkerPool pool) {
        this.pool = pool;
    }

    void add(JobEntry job) {
        waves.add(new Wave(job));
    }

    /** Wakes the workers of up to this many tasks. */
    void advance(int mostTasks, WorkerRequests workers) {
        int left = mostTasks;
        while (left > 0 && !waves.isEmpty()) {
            Wave wave = waves.peek();
            TaskEntry[] tasks = wave.job.tasks;
            while (left > 0 && wave.next < tasks.length) {
                wake(tasks[wave.next], workers);
                wave.next++;
                left--;
            }
            if (wave.next >= tasks.length) {
                waves.remove();
            }
            left--;
        }
    }

    private void wake(TaskEntry task, WorkerRequests workers) {
        if (task.phase == TaskPhase.RUNNING && task.worker != null) {
            pool.find(task.worker.id()).ifPresent(workers::wake);
        }
    }

    private static final class Wave {
        private final JobEntry job;
        private int next;

        Wave(JobEntry job) {
            this.job = job;
        }
    }
}
