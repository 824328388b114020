package org.marjoramnotch.model.identifier;

/**
 * Identifies one run of a task on a worker; a task that is placed again gets a higher number.
 *
 * @param task the task
 * @param number number of the run, counted from 1
 */
public record TaskAttemptId(TaskId task, int number) {}
