package org.marjoramnotch.model.message;

import org.marjoramnotch.model.job.JobStatus;

/**
 * The status of a job.
 *
 * @param status the status
 */
public record JobAnswer(JobStatus status) implements CellReply {}
