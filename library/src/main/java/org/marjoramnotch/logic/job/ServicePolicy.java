package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.TaskPhase;
import org.marjoramnotch.model.job.WorkerDescription;

/** Spreads the tasks of a job over availability zones, then racks, then workers. */
final class ServicePolicy implements PlacementPolicy {
    private static final int CANDIDATES_PER_ZONE = 8;

    /** Limits the number of tasks that are counted in a job with very many tasks. */
    private static final int MAXIMUM_TASKS_COUNTED = 256;

    @Override
    public List<WorkerSession> choose(PlacementRequest request, FreeCapacity capacity) {
        if (!capacity.mayHold(request.perTask())) {
            return List.of();
        }
        SpreadCount count = SpreadCount.of(request.queued());
        List<AvailabilityZone> zones = new ArrayList<>();
        capacity.zones().forEach(zones::add);
        zones.sort(Comparator.comparingInt(count::inZone).thenComparing(zone -> zone));
        for (AvailabilityZone zone : zones) {
            Optional<WorkerSession> worker = choose(zone, request, capacity, count);
            if (worker.isPresent()) {
                return List.of(worker.get());
            }
        }
        return List.of();
    }

    private static Optional<WorkerSession> choose(
            AvailabilityZone zone,
            PlacementRequest request,
            FreeCapacity capacity,
            SpreadCount count) {
        List<WorkerSession> candidates = new ArrayList<>();
        int stride = Math.max(1, capacity.slotCount() / CANDIDATES_PER_ZONE);
        for (int candidate = 0; candidate < CANDIDATES_PER_ZONE; candidate++) {
            capacity.firstFitInZone(
                            zone,
                            request.perTask(),
                            candidate * stride,
                            worker ->
                                    request.allowed().test(worker) && !candidates.contains(worker))
                    .ifPresent(candidates::add);
        }
        return candidates.stream()
                .min(
                        Comparator.<WorkerSession>comparingInt(count::inRack)
                                .thenComparingInt(count::onWorker)
                                .thenComparing(WorkerSession::id));
    }

    /** Counts the running and proposed tasks of a job by zone, rack and worker. */
    private static final class SpreadCount {
        private final Map<AvailabilityZone, Integer> zones = new HashMap<>();
        private final Map<RackName, Integer> racks = new HashMap<>();
        private final Map<WorkerId, Integer> workers = new HashMap<>();

        static SpreadCount of(QueuedJob queued) {
            SpreadCount count = new SpreadCount();
            queued.proposedWorkers.forEach(worker -> count.add(worker.entry.description));
            JobEntry job = queued.job;
            for (int i = 0; i < Math.min(job.tasks.length, MAXIMUM_TASKS_COUNTED); i++) {
                TaskEntry task = job.tasks[i];
                if (task.phase == TaskPhase.RUNNING && task.worker != null) {
                    count.add(task.worker.description);
                }
            }
            return count;
        }

        private void add(WorkerDescription worker) {
            zones.merge(worker.zone(), 1, Integer::sum);
            racks.merge(worker.rack(), 1, Integer::sum);
            workers.merge(worker.worker(), 1, Integer::sum);
        }

        int inZone(AvailabilityZone zone) {
            return zones.getOrDefault(zone, 0);
        }

        int inRack(WorkerSession worker) {
            return racks.getOrDefault(worker.entry.description.rack(), 0);
        }

        int onWorker(WorkerSession worker) {
            return workers.getOrDefault(worker.id(), 0);
        }
    }
}
