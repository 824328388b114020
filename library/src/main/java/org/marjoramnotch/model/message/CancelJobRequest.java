package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.identifier.JobId;

/**
 * Cancels a job.
 *
 * @param credential the key that was sent with the request, if any
 * @param job the job
 */
public record CancelJobRequest(Optional<Credential> credential, JobId job) implements CellRequest {}
