package org.marjoramnotch.model.message;

import org.marjoramnotch.model.identifier.EndpointId;

/**
 * Removes an endpoint whose VM is permanently gone, together with its open attempts. Refused while
 * the endpoint announces itself or its lease is valid.
 *
 * @param endpoint the endpoint; an unknown endpoint counts as already removed
 */
public record ForgetEndpointRequest(EndpointId endpoint) implements CellRequest {}
