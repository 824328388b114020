package org.marjoramnotch.model.endpoint;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import java.util.List;

/**
 * The complete placement state of a cell. Lists are in the order in which their elements were
 * created.
 *
 * @param endpoints the registered endpoints
 * @param retired the retired incarnations of endpoints that are no longer registered; they may not
 *     register again
 * @param attempts the open attempts
 * @param claims the idempotency claims; those of ended requests in the order in which the requests
 *     ended
 * @param ended the ended attempts of each entry process
 */
public record PlacementSnapshot(
        List<RegisteredEndpoint> endpoints,
        @JsonSetter(nulls = Nulls.AS_EMPTY) List<RetiredIncarnations> retired,
        List<OpenAttempt> attempts,
        List<ClaimRecord> claims,
        List<EndedSequences> ended) {}
