package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.JobId;

/**
 * Cancels a job: queued tasks end at once, running ones are stopped.
 *
 * @param job the job
 */
public record CancelJob(JobId job) implements Command {}
