package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.resource.Resources;

/**
 * Places either all tasks of a job at once or none. Another policy chooses the worker of each task.
 */
final class GangPolicy implements PlacementPolicy {
    private final PlacementPolicy taskPolicy;

    GangPolicy(PlacementPolicy taskPolicy) {
        this.taskPolicy = taskPolicy;
    }

    @Override
    public List<WorkerSession> choose(PlacementRequest request, FreeCapacity capacity) {
        if (!mayHoldAll(request, capacity)) {
            return List.of();
        }
        PlacementRequest one = new PlacementRequest(request.queued(), 1, request.allowed());
        List<WorkerSession> chosen = new ArrayList<>();
        while (chosen.size() < request.tasks()) {
            Optional<WorkerSession> worker = taskPolicy.choose(one, capacity).stream().findFirst();
            if (worker.isEmpty()) {
                break;
            }
            worker.get().addPending(request.perTask());
            capacity.put(worker.get());
            chosen.add(worker.get());
        }
        for (WorkerSession worker : chosen) {
            worker.removePending(request.perTask());
            capacity.put(worker);
        }
        return chosen.size() == request.tasks() ? chosen : List.of();
    }

    private static boolean mayHoldAll(PlacementRequest request, FreeCapacity capacity) {
        Resources one = request.perTask();
        Resources all = one.times(request.tasks());
        return capacity.mayHold(one) && capacity.totalFree().holds(all);
    }
}
