package org.marjoramnotch.model.identifier;

/**
 * Identifies a task of a job.
 *
 * @param job the job
 * @param number number of the task within the job, counted from 0
 */
public record TaskId(JobId job, int number) {}
