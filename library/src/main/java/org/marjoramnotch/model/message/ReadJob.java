package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.job.JobState;

/**
 * Asks where a job stands; held until its state differs from the known one or the wait ends.
 *
 * @param credential the key that came with it, if any
 * @param job the job
 * @param known the state that the caller knows, if any
 * @param waitMilliseconds longest time to hold the answer
 */
public record ReadJob(
        Optional<Credential> credential, JobId job, Optional<JobState> known, long waitMilliseconds)
        implements CellRequest {}
