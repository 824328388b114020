package org.marjoramnotch.logic.job;

/**
 * A run that may start.
 *
 * @param task the task
 * @param worker where
 */
record ValidatedStart(TaskEntry task, WorkerEntry worker) {}
