package org.marjoramnotch.logic.job;

import java.util.ArrayDeque;
import java.util.Deque;
import org.marjoramnotch.model.job.TaskPhase;

/**
 * Wakes the workers that run tasks of stopping jobs, so that they are told to stop them. Handles a
 * limited number of tasks in each tick.
 */
final class StopNotifier {
    private final WorkerPool pool;
    private final Deque<StoppingJob> stoppingJobs = new ArrayDeque<>();

    StopNotifier(WorkerPool pool) {
        this.pool = pool;
    }

    void add(JobEntry job) {
        stoppingJobs.add(new StoppingJob(job));
    }

    /** Wakes the workers of up to the given number of tasks. */
    void advance(int maximumTasks, WorkerRequestHandler workers) {
        int left = maximumTasks;
        while (left > 0 && !stoppingJobs.isEmpty()) {
            StoppingJob stoppingJob = stoppingJobs.peek();
            TaskEntry[] tasks = stoppingJob.job.tasks;
            while (left > 0 && stoppingJob.next < tasks.length) {
                wake(tasks[stoppingJob.next], workers);
                stoppingJob.next++;
                left--;
            }
            if (stoppingJob.next >= tasks.length) {
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
