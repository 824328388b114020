package org.marjoramnotch.model.command;

import org.marjoramnotch.model.endpoint.EndpointDescription;

/**
 * Registers an endpoint; a new incarnation ends all attempts of the one before.
 *
 * @param description what it announced
 */
public record RegisterEndpoint(EndpointDescription description) implements Command {}
