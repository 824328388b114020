package org.marjoramnotch.model.endpoint;

import java.util.Optional;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * The recorded state of the request that claimed an idempotency key.
 *
 * @param team the team that the key belongs to
 * @param claim the digests of the key and the request
 * @param attempt the latest attempt of the request
 * @param state the state of the request
 * @param answer its answer, if it was stored
 */
public record ClaimRecord(
        TeamName team,
        IdempotencyClaim claim,
        AttemptId attempt,
        ClaimState state,
        Optional<StoredAnswer> answer) {}
