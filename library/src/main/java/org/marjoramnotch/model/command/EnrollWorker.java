package org.marjoramnotch.model.command;

import java.util.Optional;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.InheritedLease;
import org.marjoramnotch.model.workflow.NextLifeEvidence;

/**
 * Enrolls a worker or updates its condition. Runs of an earlier incarnation of the worker lapse.
 *
 * @param worker the worker
 * @param nextLifeEvidence what this incarnation may have carried out of the starts for the earlier
 *     one; empty if this is not known, as in commands of earlier releases
 * @param inheritedLease what is newly known of a lease that a call to an earlier incarnation may
 *     have granted to this one; empty leaves what is known
 * @param inheritedLeaseOver whether such a lease is certainly over
 */
public record EnrollWorker(
        FleetWorker worker,
        Optional<NextLifeEvidence> nextLifeEvidence,
        Optional<InheritedLease> inheritedLease,
        boolean inheritedLeaseOver)
        implements WorkflowCommand {
    /** Enrolls a worker without evidence about an earlier incarnation. */
    public EnrollWorker(FleetWorker worker) {
        this(worker, Optional.empty());
    }

    /** Enrolls a worker with evidence about an earlier incarnation. */
    public EnrollWorker(FleetWorker worker, Optional<NextLifeEvidence> nextLifeEvidence) {
        this(worker, nextLifeEvidence, Optional.empty(), false);
    }

    /** Records what is known of the lease that a worker may have inherited. */
    public static EnrollWorker withInheritedLease(FleetWorker worker, InheritedLease lease) {
        return new EnrollWorker(worker, Optional.empty(), Optional.of(lease), false);
    }

    /** Records that the lease which a worker may have inherited is over. */
    public static EnrollWorker withoutInheritedLease(FleetWorker worker) {
        return new EnrollWorker(worker, Optional.empty(), Optional.empty(), true);
    }
}
