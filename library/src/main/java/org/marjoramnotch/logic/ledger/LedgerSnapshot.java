package org.marjoramnotch.logic.ledger;

import java.util.Objects;
import org.marjoramnotch.logic.configuration.ConfigurationSnapshot;
import org.marjoramnotch.model.endpoint.PlacementSnapshot;
import org.marjoramnotch.model.job.JobSnapshot;
import org.marjoramnotch.model.workflow.WorkflowSnapshot;

/**
 * The whole state at one index of the log.
 *
 * @param configuration the rules
 * @param placement endpoints, attempts and idempotency claims
 * @param job workers, jobs and runs
 * @param workflow fleet configuration, workers that take orders and workflows; snapshots of earlier
 *     releases have none
 */
public record LedgerSnapshot(
        ConfigurationSnapshot configuration,
        PlacementSnapshot placement,
        JobSnapshot job,
        WorkflowSnapshot workflow) {
    /** Reads the snapshot of a release without workflows as one that has none. */
    public LedgerSnapshot {
        workflow = Objects.requireNonNullElse(workflow, WorkflowSnapshot.EMPTY);
    }
}
