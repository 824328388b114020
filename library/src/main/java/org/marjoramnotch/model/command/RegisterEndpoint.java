package org.marjoramnotch.model.command;

import org.marjoramnotch.model.endpoint.EndpointDescription;

/**
 * Registers an endpoint; a new incarnation ends all attempts of the previous one.
 *
 * @param description the description that the endpoint announced
 */
public record RegisterEndpoint(EndpointDescription description) implements Command {}
