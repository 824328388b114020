package org.marjoramnotch.model.endpoint;

import java.util.List;
import org.marjoramnotch.model.identifier.EndpointId;

/**
 * The incarnations of an endpoint without registration that may not return.
 *
 * @param endpoint the endpoint
 * @param incarnations the incarnations, oldest first
 */
public record RetiredIncarnations(EndpointId endpoint, List<String> incarnations) {}
