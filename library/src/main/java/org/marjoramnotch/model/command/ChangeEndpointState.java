package org.marjoramnotch.model.command;

import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.identifier.EndpointId;

/**
 * Changes whether an endpoint takes new work.
 *
 * @param endpoint the endpoint
 * @param incarnation its incarnation; another one makes this a no-op
 * @param state the new state
 */
public record ChangeEndpointState(EndpointId endpoint, String incarnation, EndpointState state)
        implements Command {}
