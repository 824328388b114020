package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.Map;
import org.marjoramnotch.logic.evacuation.ColdZones;
import org.marjoramnotch.model.identifier.ServiceName;

/** Lists the workers on which runs may be started, with what is free on them, for each round. */
final class UsableWorkers {
    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;
    private final CapacityView capacity;
    private final SpeedEstimator speeds;
    private final ColdZones coldZones;
    private final Preemption preemption;

    UsableWorkers(
            WorkflowLedger ledger,
            WorkerSessions sessions,
            CapacityView capacity,
            SpeedEstimator speeds,
            ColdZones coldZones,
            Preemption preemption) {
        this.ledger = ledger;
        this.sessions = sessions;
        this.capacity = capacity;
        this.speeds = speeds;
        this.coldZones = coldZones;
        this.preemption = preemption;
    }

    /** Returns the usable workers of each pool; pools without one are absent. */
    Map<ServiceName, PoolCapacity> byPool(long nowMilliseconds) {
        Map<ServiceName, PoolCapacity> usableWorkers = new HashMap<>();
        for (WorkerEntry entry : ledger.workers()) {
            WorkerSession session = sessions.of(entry.worker().incarnation()).orElse(null);
            if (session != null
                    && session.isUsable(nowMilliseconds)
                    && !ledger.evacuations().isEvacuated(entry.worker())) {
                PoolCapacity pool =
                        usableWorkers.computeIfAbsent(
                                entry.worker().pool(), name -> new PoolCapacity());
                pool.add(
                        new WorkerCapacity(
                                entry,
                                pool.size(),
                                capacity.reservedOn(entry).plus(preemption.keptOn(entry)),
                                session.hasRecentFailures(nowMilliseconds),
                                speeds.slowness(entry.worker().id()),
                                coldZones.isCold(
                                        nowMilliseconds, entry.worker().availabilityZone())));
            }
        }
        return usableWorkers;
    }
}
