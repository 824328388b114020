package org.marjoramnotch.model.endpoint;

import java.util.List;
import org.marjoramnotch.model.identifier.EndpointId;

/**
 * The incarnations of an endpoint that is no longer registered. They may not register again.
 *
 * @param endpoint the endpoint
 * @param incarnations the incarnations, oldest first
 */
public record RetiredIncarnations(EndpointId endpoint, List<String> incarnations) {}
