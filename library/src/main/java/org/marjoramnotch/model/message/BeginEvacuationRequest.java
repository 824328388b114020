package org.marjoramnotch.model.message;

import org.marjoramnotch.model.identifier.AvailabilityZone;

/**
 * Asks that no new runs are sent to the workers of an availability zone.
 *
 * @param zone the availability zone
 */
public record BeginEvacuationRequest(AvailabilityZone zone) implements WorkflowRequest {}
