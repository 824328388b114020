package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.QueuePolicy;

/** Takes how long runs of jobs waited and ran; called by the thread that runs the duty. */
public interface JobMetricsListener {
    /** Takes nothing. */
    JobMetricsListener NONE =
            new JobMetricsListener() {
                @Override
                public void onRunStarted(
                        TeamName team, QueuePolicy policy, long waitedMilliseconds) {}

                @Override
                public void onRunEnded(TeamName team, QueuePolicy policy, long ranMilliseconds) {}
            };

    /** A run started this long after its task was queued. */
    void onRunStarted(TeamName team, QueuePolicy policy, long waitedMilliseconds);

    /** A run ended this long after it started, however it ended. */
    void onRunEnded(TeamName team, QueuePolicy policy, long ranMilliseconds);
}
