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
 * @param job the name of the job
 * @param sequence position in the order of acceptance
 * @param queue the queue that accepted the job
 * @param team the team that the job belongs to
 * @param keyed whether the job was submitted with a key
 * @param request the request identifier, which distinguishes a resend from a new job, if given
 * @param fingerprint digest of the submission; present if there is a request identifier
 * @param specification the submitted job, without its payload after the job has ended
 * @param policy the policy of the queue when the job was accepted
 * @param repetition the repetition of the queue when the job was accepted
 * @param progress the counts and flags of the job
 * @param tasks the tasks that have left their initial state; empty after the job has ended
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
