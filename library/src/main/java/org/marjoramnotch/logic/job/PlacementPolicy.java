package org.marjoramnotch.logic.job;

import java.util.List;

/** Chooses workers for the tasks of one kind of workload. */
interface PlacementPolicy {
    /** Returns a worker for each task, or an empty list if not all of them can be placed now. */
    List<WorkerSession> choose(PlacementRequest request, FreeCapacity capacity);
}
