package org.marjoramnotch.logic.cell;

import org.marjoramnotch.logic.job.JobMetricsListener;
import org.marjoramnotch.logic.placement.PlacementMetricsListener;

/** Receives the metrics of the leader's duties; called by the thread that runs the core. */
public interface LeaderMetricsListener extends PlacementMetricsListener, JobMetricsListener {
    /** Receives the metrics of the cell, about once a second. */
    void onCellMetrics(CellMetrics metrics);
}
