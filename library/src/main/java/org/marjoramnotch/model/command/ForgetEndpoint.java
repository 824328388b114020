package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.EndpointId;

/**
 * Removes an endpoint that is permanently gone; its open attempts end with an unknown outcome, and
 * its incarnation cannot return.
 *
 * @param endpoint the endpoint
 * @param incarnation its incarnation; the command has no effect on any other incarnation
 */
public record ForgetEndpoint(EndpointId endpoint, String incarnation) implements Command {}
