package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.job.JobSpecification;

/**
 * Hands in a job.
 *
 * @param credential the key that came with it, if any
 * @param request tells a resend from a new job, if given
 * @param queue the queue
 * @param specification what is asked
 */
public record SubmitJobRequest(
        Optional<Credential> credential,
        Optional<RequestId> request,
        QueueName queue,
        JobSpecification specification)
        implements CellRequest {}
