package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.EndpointId;

/**
 * Removes an endpoint that is gone for good; its open attempts end with an unknown outcome, and its
 * incarnation cannot return.
 *
 * @param endpoint the endpoint
 * @param incarnation its incarnation; another one makes this a no-op
 */
public record ForgetEndpoint(EndpointId endpoint, String incarnation) implements Command {}
