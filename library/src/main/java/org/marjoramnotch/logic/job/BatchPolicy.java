package org.marjoramnotch.logic.job;

import java.util.List;

/**
 * Places independent tasks by best fit: on the worker that is left with the least of the resource
 * that is scarcest for the task.
 */
final class BatchPolicy implements PlacementPolicy {
    @Override
    public List<WorkerSession> choose(PlacementRequest request, FreeCapacity capacity) {
        return capacity.bestFit(request.perTask(), request.allowed()).stream().toList();
    }
}
