package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.job.TaskEnd;

/** Ignores all changes; used on replicas that do not lead. */
final class NoOpJobLedgerListener implements JobLedgerListener {
    @Override
    public void workerAdded(WorkerEntry worker) {}

    @Override
    public void workerRemoved(WorkerEntry worker) {}

    @Override
    public void jobAdded(JobEntry job) {}

    @Override
    public void jobStopping(JobEntry job) {}

    @Override
    public void jobEnded(JobEntry job) {}

    @Override
    public void runStarted(TaskEntry task, WorkerEntry worker) {}

    @Override
    public void runEnded(TaskEntry task, WorkerEntry worker, TaskEnd end) {}

    @Override
    public void taskRequeued(TaskEntry task) {}
}
