package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.AvailabilityZone;

/**
 * Ends the evacuation of an availability zone. Without effect if the zone is not evacuated.
 *
 * @param zone the availability zone
 * @param proposedEpochMilliseconds when the leader proposed it, in Unix time
 */
public record FinishEvacuation(AvailabilityZone zone, long proposedEpochMilliseconds)
        implements WorkflowCommand {}
