package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.EndpointId;

/**
 * Forgets an endpoint that holds no attempt.
 *
 * @param endpoint the endpoint
 * @param incarnation its incarnation; another one makes this a no-op
 */
public record RemoveEndpoint(EndpointId endpoint, String incarnation) implements Command {}
