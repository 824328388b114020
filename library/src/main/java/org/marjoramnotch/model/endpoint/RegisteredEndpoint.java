package org.marjoramnotch.model.endpoint;

import java.util.List;

/**
 * An endpoint as the ledger knows it.
 *
 * @param description what it announced
 * @param state whether it takes new work
 * @param retiredIncarnations its latest earlier incarnations, oldest first
 */
public record RegisteredEndpoint(
        EndpointDescription description, EndpointState state, List<String> retiredIncarnations) {}
