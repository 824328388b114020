package org.marjoramnotch.logic.workflow;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.InheritedLease;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunId;

/** A worker in the ledger with the runs on it. */
final class WorkerEntry {
    private FleetWorker worker;
    private final Map<RunId, ActiveRun> runs = new LinkedHashMap<>();
    private Resources reserved = Resources.NONE;
    private boolean mayHoldInheritedLease;
    private @Nullable InheritedLease inheritedLease;

    WorkerEntry(FleetWorker worker) {
        this.worker = worker;
    }

    FleetWorker worker() {
        return worker;
    }

    void update(FleetWorker updated) {
        worker = updated;
    }

    /**
     * Notes that the worker follows another one under its name, so that a call to that one may have
     * granted it a lease by the clock of the earlier one.
     */
    void inheritLease() {
        mayHoldInheritedLease = true;
    }

    /** Notes what is newly known of such a lease. */
    void updateInheritedLease(InheritedLease lease) {
        if (mayHoldInheritedLease) {
            inheritedLease = lease;
        }
    }

    /** Notes that such a lease is over. */
    void endInheritedLease() {
        mayHoldInheritedLease = false;
        inheritedLease = null;
    }

    /** Returns whether the worker may hold a lease that was granted to an earlier incarnation. */
    boolean mayHoldInheritedLease() {
        return mayHoldInheritedLease;
    }

    /** Returns what is known of such a lease; empty while no leader has read the worker's clock. */
    Optional<InheritedLease> inheritedLease() {
        return Optional.ofNullable(inheritedLease);
    }

    /** Returns the runs that reserve capacity, oldest first. */
    Collection<ActiveRun> runs() {
        return Collections.unmodifiableCollection(runs.values());
    }

    boolean has(RunId run) {
        return runs.containsKey(run);
    }

    Resources reserved() {
        return reserved;
    }

    void add(ActiveRun run) {
        runs.put(run.run(), run);
        reserved = reserved.plus(run.step().reserved());
    }

    void remove(RunId run) {
        ActiveRun removed = runs.remove(run);
        if (removed != null) {
            reserved = reserved.minus(removed.step().reserved());
        }
    }
}
