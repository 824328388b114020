package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.identifier.TaskAttemptId;

/**
 * A task start that is proposed but not applied yet.
 *
 * @param task the task
 * @param worker the worker that is to run it
 * @param attempt the identifier of the run
 */
record ProposedStart(TaskEntry task, WorkerSession worker, TaskAttemptId attempt) {}
