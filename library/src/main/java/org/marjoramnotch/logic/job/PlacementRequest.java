package org.marjoramnotch.logic.job;

import java.util.function.Predicate;
import org.marjoramnotch.model.resource.Resources;

/**
 * Tasks of one job to be placed.
 *
 * @param queued the job
 * @param tasks how many of its tasks to place
 * @param allowed workers that may be used
 */
record PlacementRequest(QueuedJob queued, int tasks, Predicate<WorkerSession> allowed) {
    Resources perTask() {
        return queued.job.perTask();
    }
}
