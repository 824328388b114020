package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.identifier.TaskAttemptId;

/**
 * A start that is proposed and not applied yet.
 *
 * @param task the task
 * @param worker where
 * @param attempt the run
 */
record ProposedStart(TaskEntry task, WorkerSession worker, TaskAttemptId attempt) {}
