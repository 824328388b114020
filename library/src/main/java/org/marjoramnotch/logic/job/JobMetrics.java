package org.marjoramnotch.logic.job;

import java.util.Collection;
import org.HdrHistogram.Histogram;

/** Waiting and run times of jobs. Must be read by the thread that runs the duty. */
public interface JobMetrics {
    /** Returns the metrics of each team and policy that had a run. */
    Collection<TeamJobMetrics> teamMetrics();

    /** Returns the waiting times of urgent runs of all teams, in milliseconds. */
    Histogram urgentWaitingMilliseconds();
}
