package org.marjoramnotch.model.endpoint;

import java.util.List;

/**
 * An endpoint as stored in the ledger.
 *
 * @param description the description that it announced
 * @param state whether it accepts new work
 * @param retiredIncarnations its most recent earlier incarnations, oldest first
 */
public record RegisteredEndpoint(
        EndpointDescription description, EndpointState state, List<String> retiredIncarnations) {}
