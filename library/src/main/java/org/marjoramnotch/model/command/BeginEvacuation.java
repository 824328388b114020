package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.AvailabilityZone;

/**
 * Begins the evacuation of an availability zone: its workers get no new runs. Without effect if the
 * zone is evacuated.
 *
 * @param zone the availability zone
 * @param proposedEpochMilliseconds when the leader proposed it, in Unix time
 */
public record BeginEvacuation(AvailabilityZone zone, long proposedEpochMilliseconds)
        implements WorkflowCommand {}
