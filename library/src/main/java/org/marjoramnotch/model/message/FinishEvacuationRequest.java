package org.marjoramnotch.model.message;

import org.marjoramnotch.model.identifier.AvailabilityZone;

/**
 * Ends the evacuation of an availability zone.
 *
 * @param zone the availability zone
 */
public record FinishEvacuationRequest(AvailabilityZone zone) implements WorkflowRequest {}
