package org.marjoramnotch.model.message;

import org.marjoramnotch.model.job.JobStatus;

/**
 * Where a job stands.
 *
 * @param status the status
 */
public record JobAnswer(JobStatus status) implements CellReply {}
