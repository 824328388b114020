package org.marjoramnotch.model.command;

import java.util.Optional;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.job.JobSpecification;

/**
 * Accepts a job; a resend of the same request gets the first answer.
 *
 * @param job the name given by the leader
 * @param request tells a resend from a new job
 * @param queue the queue
 * @param team the team that the work counts for
 * @param key the key that came with the work; absent on open queues
 * @param specification what is asked
 */
public record SubmitJob(
        JobId job,
        Optional<RequestId> request,
        QueueName queue,
        TeamName team,
        Optional<KeyId> key,
        JobSpecification specification)
        implements Command {}
