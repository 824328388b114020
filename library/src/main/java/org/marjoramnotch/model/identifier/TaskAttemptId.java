package org.marjoramnotch.model.identifier;

/**
 * Names one run of a task on a worker; a task that is placed again gets a higher number.
 *
 * @param task the task
 * @param number counts the runs of the task from 1
 */
public record TaskAttemptId(TaskId task, int number) {}
