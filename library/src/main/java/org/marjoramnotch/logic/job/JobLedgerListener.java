package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.job.TaskEnd;

/**
 * Is notified of each change while it is applied to the ledger, so that it can update indexes. It
 * must not change the ledger.
 */
interface JobLedgerListener {
    /** Called when a worker was registered. */
    void workerAdded(WorkerEntry worker);

    /** Called when a worker was removed, after its runs were ended. */
    void workerRemoved(WorkerEntry worker);

    /** Called when a job was accepted; all its tasks are queued. */
    void jobAdded(JobEntry job);

    /** Called when no further task of a job may start; its queued tasks have ended. */
    void jobStopping(JobEntry job);

    /** Called when a job has ended. */
    void jobEnded(JobEntry job);

    /** Called when a run has started and holds resources of its worker. */
    void runStarted(TaskEntry task, WorkerEntry worker);

    /** Called when a run has ended and its resources are free again. */
    void runEnded(TaskEntry task, WorkerEntry worker, TaskEnd end);

    /** Called when a task whose run has ended is queued for another run. */
    void taskRequeued(TaskEntry task);
}
