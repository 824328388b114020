package org.marjoramnotch.logic.workflow;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.marjoramnotch.model.command.DismissWorker;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.InheritedLease;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.NextLifeEvidence;
import org.marjoramnotch.model.workflow.WorkflowSnapshot;

/**
 * The workers in the ledger. A worker that enrolls under the name of an earlier one may have
 * carried out calls to that, and hold a lease by its clock.
 */
final class EnrolledWorkers {
    private static final int MAXIMUM_DISMISSED = 1_000;

    private final Map<WorkerId, WorkerEntry> entries = new TreeMap<>();

    /** The names of the workers dismissed last whose next life may get a lease, oldest first. */
    private final Set<WorkerId> dismissed = new LinkedHashSet<>();

    void restore(WorkflowSnapshot snapshot) {
        snapshot.workers().forEach(worker -> entries.put(worker.id(), new WorkerEntry(worker)));
        for (WorkerIncarnation worker : snapshot.followers()) {
            of(worker).ifPresent(WorkerEntry::inheritLease);
        }
        for (InheritedLease lease : snapshot.inheritedLeases()) {
            of(lease.worker()).ifPresent(entry -> entry.updateInheritedLease(lease));
        }
        dismissed.addAll(snapshot.dismissedWorkers());
    }

    Collection<WorkerEntry> all() {
        return entries.values();
    }

    Optional<WorkerEntry> of(WorkerId id) {
        return Optional.ofNullable(entries.get(id));
    }

    Optional<WorkerEntry> of(WorkerIncarnation incarnation) {
        return of(incarnation.worker())
                .filter(entry -> entry.worker().incarnation().equals(incarnation));
    }

    /** Returns the incarnations that may hold an inherited lease. */
    List<WorkerIncarnation> followers() {
        return entries.values().stream()
                .filter(WorkerEntry::mayHoldInheritedLease)
                .map(entry -> entry.worker().incarnation())
                .toList();
    }

    List<InheritedLease> inheritedLeases() {
        return entries.values().stream().flatMap(entry -> entry.inheritedLease().stream()).toList();
    }

    List<WorkerId> dismissed() {
        return List.copyOf(dismissed);
    }

    /** Enrolls or updates a worker; returns the earlier incarnation if it replaces one. */
    Optional<WorkerEntry> enroll(EnrollWorker enroll) {
        FleetWorker worker = enroll.worker();
        WorkerEntry known = entries.get(worker.id());
        if (known == null) {
            add(worker, dismissed.remove(worker.id()));
            return Optional.empty();
        }
        long knownStart = known.worker().incarnation().startedEpochMilliseconds();
        long start = worker.incarnation().startedEpochMilliseconds();
        if (start > knownStart) {
            add(worker, isLeasePossible(enroll.nextLifeEvidence()));
            return Optional.of(known);
        }
        if (start == knownStart) {
            known.update(worker);
            if (enroll.inheritedLeaseOver()) {
                known.endInheritedLease();
            } else {
                enroll.inheritedLease().ifPresent(known::updateInheritedLease);
            }
        }
        return Optional.empty();
    }

    private static boolean isLeasePossible(Optional<NextLifeEvidence> evidence) {
        return evidence.map(NextLifeEvidence::leasePossible).orElse(true);
    }

    private void add(FleetWorker worker, boolean leasePossible) {
        WorkerEntry entry = new WorkerEntry(worker);
        if (leasePossible) {
            entry.inheritLease();
        }
        entries.put(worker.id(), entry);
    }

    /** Removes a worker and returns its entry. */
    Optional<WorkerEntry> dismiss(DismissWorker dismiss) {
        WorkerId id = dismiss.worker().worker();
        Optional<WorkerEntry> entry = of(dismiss.worker());
        if (entry.isPresent()) {
            entries.remove(id);
            if (isLeasePossible(dismiss.nextLifeEvidence())) {
                rememberDismissed(id);
            }
        }
        return entry;
    }

    private void rememberDismissed(WorkerId worker) {
        dismissed.remove(worker);
        dismissed.add(worker);
        if (dismissed.size() > MAXIMUM_DISMISSED) {
            Iterator<WorkerId> oldest = dismissed.iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
