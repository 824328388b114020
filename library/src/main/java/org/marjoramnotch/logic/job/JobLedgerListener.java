package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.job.TaskEnd;

/**
 * Is told of each change of the ledger while it is applied, to keep indexes; must not change it.
 */
interface JobLedgerListener {
    /** A worker was registered. */
    void workerAdded(WorkerEntry worker);

    /** A worker was removed; its runs have ended before. */
    void workerRemoved(WorkerEntry worker);

    /** A job was accepted; all its tasks are queued. */
    void jobAdded(JobEntry job);

    /** No further task of the job may start; its queued tasks have ended. */
    void jobStopping(JobEntry job);

    /** The job has ended. */
    void jobEnded(JobEntry job);

    /** A run holds resources of its worker. */
    void runStarted(TaskEntry task, WorkerEntry worker);

    /** A run has ended and what it held is free. */
    void runEnded(TaskEntry task, WorkerEntry worker, TaskEnd end);

    /** A task whose run ended waits for another run. */
    void taskRequeued(TaskEntry task);
}
