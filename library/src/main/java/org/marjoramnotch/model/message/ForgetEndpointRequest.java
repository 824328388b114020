package org.marjoramnotch.model.message;

import org.marjoramnotch.model.identifier.EndpointId;

/**
 * Removes an endpoint whose VM is gone for good, with its open attempts; refused while it renews
 * its lease.
 *
 * @param endpoint the endpoint; an unknown one has been removed already
 */
public record ForgetEndpointRequest(EndpointId endpoint) implements CellRequest {}
