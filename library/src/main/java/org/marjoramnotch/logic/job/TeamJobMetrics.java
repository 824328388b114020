package org.marjoramnotch.logic.job;

import org.HdrHistogram.Histogram;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.QueuePolicy;

/**
 * Waiting and run times of a team's jobs in queues of one policy, since the leader's term began.
 *
 * @param team the team
 * @param policy the policy
 * @param waitingMilliseconds the time from queued to started, one value for each run
 * @param runningMilliseconds the time from started to ended, one value for each run
 */
public record TeamJobMetrics(
        TeamName team,
        QueuePolicy policy,
        Histogram waitingMilliseconds,
        Histogram runningMilliseconds) {}
