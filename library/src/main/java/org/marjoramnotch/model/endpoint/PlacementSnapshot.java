package org.marjoramnotch.model.endpoint;

import java.util.List;

/**
 * The whole placement state of a cell; lists are in the order in which their elements arose.
 *
 * @param endpoints the registered endpoints
 * @param attempts the open attempts
 * @param claims the idempotency claims, ended ones in the order of their ends
 * @param ended the ended attempts of each entry process
 */
public record PlacementSnapshot(
        List<RegisteredEndpoint> endpoints,
        List<OpenAttempt> attempts,
        List<ClaimRecord> claims,
        List<EndedSequences> ended) {}
