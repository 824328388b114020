package org.marjoramnotch.model.endpoint;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import java.util.List;

/**
 * The whole placement state of a cell; lists are in the order in which their elements arose.
 *
 * @param endpoints the registered endpoints
 * @param retired the incarnations that may not return of endpoints that are not registered
 * @param attempts the open attempts
 * @param claims the idempotency claims, ended ones in the order of their ends
 * @param ended the ended attempts of each entry process
 */
public record PlacementSnapshot(
        List<RegisteredEndpoint> endpoints,
        @JsonSetter(nulls = Nulls.AS_EMPTY) List<RetiredIncarnations> retired,
        List<OpenAttempt> attempts,
        List<ClaimRecord> claims,
        List<EndedSequences> ended) {}
