package org.marjoramnotch.logic.cell;

import org.marjoramnotch.logic.job.JobMetricsListener;
import org.marjoramnotch.logic.placement.PlacementMetricsListener;
import org.marjoramnotch.logic.workflow.ConfigurationMetricsListener;
import org.marjoramnotch.logic.workflow.RunMetricsListener;
import org.marjoramnotch.model.error.ErrorCode;

/** Receives the metrics of the leader's duties; called by the thread that runs the core. */
public interface LeaderMetricsListener
        extends PlacementMetricsListener,
                JobMetricsListener,
                ConfigurationMetricsListener,
                RunMetricsListener {
    /** Receives the metrics of the cell, about once a second. */
    void onCellMetrics(CellMetrics metrics);

    @Override
    default void onCallRefused(ErrorCode code, long versionAgeMilliseconds) {}
}
