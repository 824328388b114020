package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.job.JobState;

/**
 * Reads the status of a job. The reply is held until the state of the job differs from the known
 * one or the wait ends.
 *
 * @param credential the key that was sent with the request, if any
 * @param job the job
 * @param known the state already known to the caller, if any
 * @param waitMilliseconds maximum time to hold the reply
 */
public record ReadJob(
        Optional<Credential> credential, JobId job, Optional<JobState> known, long waitMilliseconds)
        implements CellRequest {}
