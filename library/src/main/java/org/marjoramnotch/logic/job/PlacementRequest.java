package org.marjoramnotch.logic.job;

import java.util.function.Predicate;
import org.marjoramnotch.model.resource.Resources;

/**
 * A request to place tasks of one job.
 *
 * @param queued the job
 * @param tasks the number of tasks to place
 * @param allowed accepts the workers that may be used
 */
record PlacementRequest(QueuedJob queued, int tasks, Predicate<WorkerSession> allowed) {
    Resources perTask() {
        return queued.job.perTask();
    }
}
