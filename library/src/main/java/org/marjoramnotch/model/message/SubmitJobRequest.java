package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.job.JobSpecification;

/**
 * Submits a job.
 *
 * @param credential the key that was sent with the request, if any
 * @param request distinguishes a resend from a new job, if given
 * @param queue the queue
 * @param specification the specification of the job
 */
public record SubmitJobRequest(
        Optional<Credential> credential,
        Optional<RequestId> request,
        QueueName queue,
        JobSpecification specification)
        implements CellRequest {}
