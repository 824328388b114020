package org.marjoramnotch.model.fleet;

import org.marjoramnotch.model.identifier.AvailabilityZone;

/**
 * The latest evacuation of an availability zone.
 *
 * @param zone the availability zone
 * @param active whether the zone is evacuated now
 * @param begunEpochMilliseconds when the command that began it was proposed, in Unix time
 * @param endedEpochMilliseconds when the command that last ended an evacuation of the zone was
 *     proposed, in Unix time; 0 if none did
 */
public record ZoneEvacuation(
        AvailabilityZone zone,
        boolean active,
        long begunEpochMilliseconds,
        long endedEpochMilliseconds) {}
