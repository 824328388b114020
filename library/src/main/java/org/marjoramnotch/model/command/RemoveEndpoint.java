package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.EndpointId;

/**
 * Removes an endpoint that has no open attempts.
 *
 * @param endpoint the endpoint
 * @param incarnation its incarnation; the command has no effect on any other incarnation
 */
public record RemoveEndpoint(EndpointId endpoint, String incarnation) implements Command {}
