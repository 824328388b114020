package org.marjoramnotch.logic.workflow;

import java.util.Optional;
import java.util.OptionalLong;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.InheritedLease;
import org.marjoramnotch.model.fleet.WorkerIncarnation;

/**
 * Decides what is recorded, for this and later leaders, of a lease that a worker may have inherited
 * from its earlier incarnation, and whether the worker gets runs meanwhile.
 */
final class InheritedLeases {
    /**
     * The longest inherited lease with which a worker gets runs, so that they wait for less than 7
     * s if it is lost, whoever leads then.
     */
    private static final long LONGEST_USABLE_MILLISECONDS = 6_500;

    private final WorkflowLedger ledger;

    InheritedLeases(WorkflowLedger ledger) {
        this.ledger = ledger;
    }

    /** Returns whether a worker gets no runs since its inherited lease may go on for too long. */
    boolean isLong(WorkerIncarnation worker) {
        WorkerEntry entry = ledger.worker(worker).orElse(null);
        return entry != null
                && entry.mayHoldInheritedLease()
                && entry.inheritedLease()
                        .map(lease -> lease.longestMilliseconds() > LONGEST_USABLE_MILLISECONDS)
                        .orElse(true);
    }

    /** Returns the command that records what is newly known of the lease. */
    Optional<EnrollWorker> record(long nowMilliseconds, FleetWorker worker, WorkerLease lease) {
        WorkerEntry entry = ledger.worker(worker.incarnation()).orElse(null);
        OptionalLong until = lease.inheritedUntil();
        if (entry == null || !entry.mayHoldInheritedLease() || until.isEmpty()) {
            return Optional.empty();
        }
        if (lease.areEarlierGrantsOver(nowMilliseconds)) {
            return Optional.of(EnrollWorker.withoutInheritedLease(worker));
        }
        long longest =
                lease.mayEarlierGrantsOutlast(nowMilliseconds, LONGEST_USABLE_MILLISECONDS)
                        ? lease.longestEarlierGrant()
                        : Math.min(lease.longestEarlierGrant(), LONGEST_USABLE_MILLISECONDS);
        InheritedLease known = new InheritedLease(worker.incarnation(), until.getAsLong(), longest);
        return entry.inheritedLease().equals(Optional.of(known))
                ? Optional.empty()
                : Optional.of(EnrollWorker.withInheritedLease(worker, known));
    }
}
