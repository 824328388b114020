package org.marjoramnotch.logic.job;

import java.util.List;

/** Places each task on the first worker that holds it; a baseline to compare with. */
final class FirstFitPolicy implements PlacementPolicy {
    @Override
    public List<WorkerSession> choose(PlacementRequest request, FreeCapacity capacity) {
        return capacity.firstFit(request.perTask(), request.allowed()).stream().toList();
    }
}
