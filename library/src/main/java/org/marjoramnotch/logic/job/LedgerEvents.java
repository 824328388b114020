package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.resource.Resources;

/** Keeps the leader's indexes in step with the ledger. */
final class LedgerEvents implements JobLedgerListener {
    private final JobDutyParts parts;

    LedgerEvents(JobDutyParts parts) {
        this.parts = parts;
    }

    @Override
    public void workerAdded(WorkerEntry worker) {
        parts.pool.add(new WorkerSession(worker, parts.context.now()));
        parts.waiting.fleet(parts.pool.total());
    }

    @Override
    public void workerRemoved(WorkerEntry worker) {
        parts.pool
                .find(worker.id())
                .ifPresent(
                        session -> {
                            parts.pool.remove(session);
                            parts.waiting.fleet(parts.pool.total());
                            parts.workers.removed(session);
                        });
    }

    @Override
    public void jobAdded(JobEntry job) {
        for (TaskEntry task : job.tasks) {
            task.sinceMilliseconds = parts.context.now();
        }
        parts.waiting.add(parts.queued(job));
    }

    @Override
    public void jobStopping(JobEntry job) {
        parts.waiting.find(job).ifPresent(parts.waiting::update);
        parts.stops.add(job);
        parts.readers.changed(job);
    }

    @Override
    public void jobEnded(JobEntry job) {
        parts.waiting.forget(job);
        parts.readers.changed(job);
    }

    @Override
    public void runStarted(TaskEntry task, WorkerEntry worker) {
        long now = parts.context.now();
        parts.histograms.waited(task.job, now - task.sinceMilliseconds);
        task.sinceMilliseconds = now;
        parts.waiting.hold(task.job, task.job.perTask(), Resources.NONE);
        parts.pool.find(worker.id()).ifPresent(parts.workers::wake);
        parts.readers.changed(task.job);
    }

    @Override
    public void runEnded(TaskEntry task, WorkerEntry worker, TaskEnd end) {
        long now = parts.context.now();
        long ran = now - task.sinceMilliseconds;
        if (end == TaskEnd.SUCCEEDED) {
            parts.runTimes.record(task.job, ran);
        }
        parts.histograms.ran(task.job, ran);
        task.sinceMilliseconds = now;
        parts.waiting.hold(task.job, Resources.NONE, task.job.perTask());
        parts.waiting.retryParked();
        parts.pool.find(worker.id()).ifPresent(session -> ended(session, task, end));
        parts.readers.changed(task.job);
    }

    @Override
    public void queuedAgain(TaskEntry task) {
        parts.waiting
                .find(task.job)
                .ifPresent(
                        queued -> {
                            if (queued.isEmpty()) {
                                queued.waitingSinceMilliseconds = parts.context.now();
                            }
                            queued.giveBack(task);
                            parts.waiting.update(queued);
                        });
    }

    private void ended(WorkerSession session, TaskEntry task, TaskEnd end) {
        session.forget(task.attempt());
        parts.failures.ended(session, task, end);
        parts.pool.changed(session);
        parts.workers.wake(session);
    }
}
