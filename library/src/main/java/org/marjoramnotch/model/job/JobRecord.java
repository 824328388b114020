package org.marjoramnotch.model.job;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.Repetition;

/**
 * A job in a snapshot.
 *
 * @param job its name
 * @param sequence orders jobs by acceptance
 * @param queue the queue that took it
 * @param team the team that it counts for
 * @param keyed whether a key came with it
 * @param request tells a resend from a new job, if given
 * @param fingerprint digest of what was asked, present with a request
 * @param specification what was asked; the payload is dropped when the job has ended
 * @param policy the queue's policy when it was accepted
 * @param repetition the queue's repetition when it was accepted
 * @param progress its counts and flags
 * @param tasks tasks that have left their first state; none when the job has ended
 */
public record JobRecord(
        JobId job,
        long sequence,
        QueueName queue,
        TeamName team,
        boolean keyed,
        Optional<RequestId> request,
        Optional<String> fingerprint,
        JobSpecification specification,
        QueuePolicy policy,
        Repetition repetition,
        JobProgress progress,
        List<TaskSnapshot> tasks) {}
