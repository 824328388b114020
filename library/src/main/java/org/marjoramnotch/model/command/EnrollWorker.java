package org.marjoramnotch.model.command;

import java.util.Optional;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.workflow.NextLifeStarts;

/**
 * Enrolls a worker or updates its condition. Runs of an earlier incarnation of the worker lapse.
 *
 * @param worker the worker
 * @param nextLifeStarts what this incarnation may have carried out of the starts for the earlier
 *     one; empty if this is not known, as in commands of earlier releases
 * @param inheritedLeaseOver whether a lease that a call to an earlier incarnation granted to this
 *     one is certainly over
 */
public record EnrollWorker(
        FleetWorker worker, Optional<NextLifeStarts> nextLifeStarts, boolean inheritedLeaseOver)
        implements WorkflowCommand {
    /** Enrolls a worker without evidence about an earlier incarnation. */
    public EnrollWorker(FleetWorker worker) {
        this(worker, Optional.empty(), false);
    }
}
