package org.marjoramnotch.logic.job;

import java.util.ArrayDeque;
import java.util.Deque;
import org.marjoramnotch.model.job.TaskPhase;

/** Tells workers to stop the runs of stopped jobs, a bounded number of tasks in each tick. */
final class StopNotifier {
    private final WorkerPool pool;
    private final Deque<StoppingJob> stoppingJobs = new ArrayDeque<>();

    StopNotifier(WorkerPool pool) {
        this.pool = pool;
    }

    void add(JobEntry job) {
        stoppingJobs.add(new StoppingJob(job));
    }

    /** Wakes the workers of up to this many tasks. */
    void advance(int mostTasks, WorkerRequestHandler workers) {
        int left = mostTasks;
        while (left > 0 && !stoppingJobs.isEmpty()) {
            StoppingJob wave = stoppingJobs.peek();
            TaskEntry[] tasks = wave.job.tasks;
            while (left > 0 && wave.next < tasks.length) {
                wake(tasks[wave.next], workers);
                wave.next++;
                left--;
            }
            if (wave.next >= tasks.length) {
                stoppingJobs.remove();
            }
            left--;
        }
    }

    private void wake(TaskEntry task, WorkerRequestHandler workers) {
        if (task.phase == TaskPhase.RUNNING && task.worker != null) {
            pool.find(task.worker.id()).ifPresent(workers::wake);
        }
    }

    private static final class StoppingJob {
        private final JobEntry job;
        private int next;

        StoppingJob(JobEntry job) {
            this.job = job;
        }
    }
}
