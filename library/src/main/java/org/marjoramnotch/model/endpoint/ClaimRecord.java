package org.marjoramnotch.model.endpoint;

import java.util.Optional;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * What is known of the request that claimed an idempotency key.
 *
 * @param team the team that the key belongs to
 * @param claim the key and the request
 * @param attempt the latest attempt of the request
 * @param state where the request stands
 * @param answer its answer, if it was kept
 */
public record ClaimRecord(
        TeamName team,
        IdempotencyClaim claim,
        AttemptId attempt,
        ClaimState state,
        Optional<StoredAnswer> answer) {}
