package org.marjoramnotch.logic.cell;

import org.marjoramnotch.logic.job.JobMetricsListener;
import org.marjoramnotch.logic.placement.PlacementMetricsListener;

/** Takes what a leader's decisions are measured by; called by the thread that runs the core. */
public interface LeaderMetricsListener extends PlacementMetricsListener, JobMetricsListener {
    /** Takes the state of the cell, about once a second. */
    void onCellMetrics(CellMetrics figures);
}
