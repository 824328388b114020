package org.marjoramnotch.logic.job;

import java.util.List;

/** Places independent tasks where least of the scarcest resource is left over. */
final class BatchPolicy implements PlacementPolicy {
    @Override
    public List<WorkerSession> choose(PlacementRequest request, FreeCapacity capacity) {
        return capacity.bestFit(request.perTask(), request.allowed()).stream().toList();
    }
}
