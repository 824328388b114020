package org.marjoramnotch.model.workflow;

import java.util.List;

/**
 * What the next incarnation of a worker may have carried out of the calls to the earlier one.
 *
 * @param possible tasks whose start it may have carried out, since no list of the earlier
 *     incarnation shows their runs
 * @param certain tasks whose start it has carried out, as its own answer shows
 * @param leasePossible whether it may have got a lease, since the earlier incarnation has not
 *     answered each call that grants one
 */
public record NextLifeEvidence(
        List<WorkflowTaskId> possible, List<WorkflowTaskId> certain, boolean leasePossible) {
    /** Creates an immutable value by copying the lists. */
    public NextLifeEvidence {
        possible = List.copyOf(possible);
        certain = List.copyOf(certain);
    }
}
