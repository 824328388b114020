package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.resource.Resources;

/** Updates the indexes of the leader when the ledger changes. */
final class LedgerIndexUpdater implements JobLedgerListener {
    private final JobDutyComponents components;

    LedgerIndexUpdater(JobDutyComponents components) {
        this.components = components;
    }

    @Override
    public void workerAdded(WorkerEntry worker) {
        components.pool.add(new WorkerSession(worker, components.context.now()));
        components.waiting.setTotalCapacity(components.pool.total());
    }

    @Override
    public void workerRemoved(WorkerEntry worker) {
        components
                .pool
                .find(worker.id())
                .ifPresent(
                        session -> {
                            components.pool.remove(session);
                            components.waiting.setTotalCapacity(components.pool.total());
                            components.workerRequests.onWorkerRemoved(session);
                        });
    }

    @Override
    public void jobAdded(JobEntry job) {
        for (TaskEntry task : job.tasks) {
            task.phaseStartMilliseconds = components.context.now();
        }
        components.waiting.add(components.newQueuedJob(job));
    }

    @Override
    public void jobStopping(JobEntry job) {
        components.waiting.find(job).ifPresent(components.waiting::update);
        components.stopNotifier.add(job);
        components.readRequests.markChanged(job);
    }

    @Override
    public void jobEnded(JobEntry job) {
        components.waiting.forget(job);
        components.readRequests.markChanged(job);
    }

    @Override
    public void runStarted(TaskEntry task, WorkerEntry worker) {
        long now = components.context.now();
        components.histograms.recordWaitingTime(task.job, now - task.phaseStartMilliseconds);
        task.phaseStartMilliseconds = now;
        components.waiting.changeHeldResources(task.job, task.job.perTask(), Resources.NONE);
        components.pool.find(worker.id()).ifPresent(components.workerRequests::wake);
        components.readRequests.markChanged(task.job);
    }

    @Override
    public void runEnded(TaskEntry task, WorkerEntry worker, TaskEnd end) {
        long now = components.context.now();
        long ran = now - task.phaseStartMilliseconds;
        if (end == TaskEnd.SUCCEEDED) {
            components.runTimes.record(task.job, ran);
        }
        components.histograms.recordRunTime(task.job, ran);
        task.phaseStartMilliseconds = now;
        components.waiting.changeHeldResources(task.job, Resources.NONE, task.job.perTask());
        components.waiting.retryParked();
        components.pool.find(worker.id()).ifPresent(session -> ended(session, task, end));
        components.readRequests.markChanged(task.job);
    }

    @Override
    public void taskRequeued(TaskEntry task) {
        components
                .waiting
                .find(task.job)
                .ifPresent(
                        queued -> {
                            if (queued.isEmpty()) {
                                queued.waitingSinceMilliseconds = components.context.now();
                            }
                            queued.requeue(task);
                            components.waiting.update(queued);
                        });
    }

    private void ended(WorkerSession session, TaskEntry task, TaskEnd end) {
        session.forget(task.attempt());
        components.failureHandler.onRunEnded(session, task, end);
        components.pool.onWorkerChanged(session);
        components.workerRequests.wake(session);
    }
}
