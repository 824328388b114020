package org.marjoramnotch.logic.job;

/**
 * A task start that {@link StartValidator} accepted.
 *
 * @param task the task
 * @param worker the worker that runs it
 */
record ValidatedStart(TaskEntry task, WorkerEntry worker) {}
