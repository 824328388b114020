package org.marjoramnotch.logic.ledger;

import org.marjoramnotch.logic.configuration.ConfigurationSnapshot;
import org.marjoramnotch.model.endpoint.PlacementSnapshot;
import org.marjoramnotch.model.job.JobSnapshot;

/**
 * The whole state at one index of the log.
 *
 * @param configuration the rules
 * @param placement endpoints, attempts and idempotency claims
 * @param job workers, jobs and runs
 */
public record LedgerSnapshot(
        ConfigurationSnapshot configuration, PlacementSnapshot placement, JobSnapshot job) {}
