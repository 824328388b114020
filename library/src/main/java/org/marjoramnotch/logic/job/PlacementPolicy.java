package org.marjoramnotch.logic.job;

import java.util.List;

/** Chooses workers for tasks of one kind of workload. */
interface PlacementPolicy {
    /** Returns a worker for each task, or none if not all can be placed now. */
    List<WorkerSession> choose(PlacementRequest request, FreeCapacity capacity);
}
