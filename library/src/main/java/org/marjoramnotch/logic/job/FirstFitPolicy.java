package org.marjoramnotch.logic.job;

import java.util.List;

/**
 * Places each task on the first worker with enough free capacity. Serves as the baseline for
 * comparisons.
 */
final class FirstFitPolicy implements PlacementPolicy {
    @Override
    public List<WorkerSession> choose(PlacementRequest request, FreeCapacity capacity) {
        return capacity.firstFit(request.perTask(), request.allowed()).stream().toList();
    }
}
