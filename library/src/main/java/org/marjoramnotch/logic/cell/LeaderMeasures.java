package org.marjoramnotch.logic.cell;

import org.marjoramnotch.logic.job.JobRunMeasures;
import org.marjoramnotch.logic.placement.PlacementMeasures;

/** Takes what a leader's decisions are measured by; called by the thread that runs the core. */
public interface LeaderMeasures extends PlacementMeasures, JobRunMeasures {
    /** Takes the state of the cell, about once a second. */
    void onFigures(CellFigures figures);
}
