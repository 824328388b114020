package org.marjoramnotch.model.command;

import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.identifier.EndpointId;

/**
 * Changes whether an endpoint accepts new work.
 *
 * @param endpoint the endpoint
 * @param incarnation its incarnation; the command has no effect on any other incarnation
 * @param state the new state
 */
public record ChangeEndpointState(EndpointId endpoint, String incarnation, EndpointState state)
        implements Command {}
