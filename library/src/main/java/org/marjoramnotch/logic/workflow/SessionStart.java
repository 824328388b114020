package org.marjoramnotch.logic.workflow;

import java.util.Optional;
import org.marjoramnotch.model.fleet.WorkerIncarnation;

/** When the session with a worker incarnation begins, and so which grants may precede it. */
enum SessionStart {
    /** With the leader's duties: earlier leaders may have granted leases. */
    DUTIES,
    /** With the enrollment of the worker, which no leader has called before. */
    ENROLLMENT;

    /** Returns the lease that the worker may hold. */
    WorkerLease lease(
            WorkflowSettings settings,
            WorkflowLedger ledger,
            WorkerIncarnation worker,
            long nowMilliseconds) {
        Optional<WorkerEntry> entry = ledger.worker(worker);
        if (entry.map(WorkerEntry::mayHoldInheritedLease).orElse(false)) {
            return WorkerLease.possiblyInherited(
                    settings, entry.flatMap(WorkerEntry::inheritedLease), nowMilliseconds);
        }
        return this == ENROLLMENT
                ? WorkerLease.ofFirstCaller(settings, nowMilliseconds)
                : WorkerLease.byOwnClock(settings, nowMilliseconds);
    }
}
