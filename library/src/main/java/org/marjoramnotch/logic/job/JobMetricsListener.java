package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.QueuePolicy;

/** Receives the waiting and run times of jobs. Called by the thread that runs the duty. */
public interface JobMetricsListener {
    /** Ignores all events. */
    JobMetricsListener NONE =
            new JobMetricsListener() {
                @Override
                public void onRunStarted(
                        TeamName team, QueuePolicy policy, long waitedMilliseconds) {}

                @Override
                public void onRunEnded(TeamName team, QueuePolicy policy, long ranMilliseconds) {}
            };

    /** Called when a run started, with the time since its task was queued. */
    void onRunStarted(TeamName team, QueuePolicy policy, long waitedMilliseconds);

    /** Called when a run ended for any reason, with the time since it started. */
    void onRunEnded(TeamName team, QueuePolicy policy, long ranMilliseconds);
}
