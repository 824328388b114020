package org.marjoramnotch.logic.job;

import org.HdrHistogram.Histogram;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.QueuePolicy;

/**
 * What one team sees in queues of one policy, since the leader's term began.
 *
 * @param team the team
 * @param policy the policy
 * @param waitingMilliseconds from queued to started, one value for each run
 * @param runningMilliseconds from started to ended, one value for each run
 */
public record TeamJobMetrics(
        TeamName team,
        QueuePolicy policy,
        Histogram waitingMilliseconds,
        Histogram runningMilliseconds) {}
