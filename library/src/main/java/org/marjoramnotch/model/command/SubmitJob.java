package org.marjoramnotch.model.command;

import java.util.Optional;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.job.JobSpecification;

/**
 * Submits a job; a resend of the same request gets the answer of the first one.
 *
 * @param job the name that the leader gave to the job
 * @param request the identifier that distinguishes a resend from a new job, if the request has one
 * @param queue the queue
 * @param team the team to which the work is charged
 * @param key the key that came with the request; empty on open queues
 * @param specification the specification of the job
 */
public record SubmitJob(
        JobId job,
        Optional<RequestId> request,
        QueueName queue,
        TeamName team,
        Optional<KeyId> key,
        JobSpecification specification)
        implements Command {}
