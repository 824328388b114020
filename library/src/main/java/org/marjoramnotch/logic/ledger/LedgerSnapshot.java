package org.marjoramnotch.logic.ledger;

import java.util.Objects;
import org.marjoramnotch.logic.configuration.ConfigurationSnapshot;
import org.marjoramnotch.model.endpoint.PlacementSnapshot;
import org.marjoramnotch.model.job.JobSnapshot;
import org.marjoramnotch.model.workflow.WorkflowSnapshot;

/**
 * The complete state at one index of the log.
 *
 * @param configuration the rules
 * @param placement endpoints, attempts and idempotency claims
 * @param job workers, jobs and runs
 * @param workflow fleet configuration, workers that receive orders, and workflows; absent in
 *     snapshots of earlier releases
 */
public record LedgerSnapshot(
        ConfigurationSnapshot configuration,
        PlacementSnapshot placement,
        JobSnapshot job,
        WorkflowSnapshot workflow) {
    /** Replaces the absent workflow state in a snapshot of an earlier release by an empty one. */
    public LedgerSnapshot {
        workflow = Objects.requireNonNullElse(workflow, WorkflowSnapshot.EMPTY);
    }
}
