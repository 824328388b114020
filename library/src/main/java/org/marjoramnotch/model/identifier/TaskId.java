package org.marjoramnotch.model.identifier;

/**
 * Names a task of a job.
 *
 * @param job the job
 * @param number counts the tasks of the job from 0
 */
public record TaskId(JobId job, int number) {}
