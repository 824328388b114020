package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.job.TaskEnd;

/**
 * Excludes workers from running a job for a while after it failed on them, and quarantines workers
 * on which runs of several jobs fail.
 */
final class FailureHandler {
    private static final long AVOIDANCE_MILLISECONDS = 5_000;

    private final JobSettings settings;
    private final WaitingJobs waiting;
    private final WorkerPool pool;
    private final DutyContext context;

    FailureHandler(
            JobSettings settings, WaitingJobs waiting, WorkerPool pool, DutyContext context) {
        this.settings = settings;
        this.waiting = waiting;
        this.pool = pool;
        this.context = context;
    }

    void onRunEnded(WorkerSession worker, TaskEntry task, TaskEnd end) {
        boolean failed = end == TaskEnd.FAILED || end == TaskEnd.NOT_STARTED;
        if (failed) {
            avoid(worker, task.job);
        }
        boolean changed =
                worker.health.onRunEnded(
                        task.job.id, end, context.now(), settings.quarantineMilliseconds());
        if (changed && worker.health.isQuarantined()) {
            context.schedule(worker.health.probeMilliseconds(), () -> startProbe(worker));
        }
    }

    private void avoid(WorkerSession worker, JobEntry job) {
        waiting.find(job)
                .ifPresent(
                        queued -> {
                            queued.avoid(worker.id());
                            context.schedule(
                                    context.now() + AVOIDANCE_MILLISECONDS,
                                    () -> stopAvoiding(queued, worker));
                        });
    }

    private void stopAvoiding(QueuedJob queued, WorkerSession worker) {
        queued.avoidedWorkers.remove(worker.id());
        waiting.retryParked();
    }

    private void startProbe(WorkerSession worker) {
        worker.health.openProbe();
        pool.onWorkerChanged(worker);
        waiting.retryParked();
    }
}
