package org.marjoramnotch.model.fleet;

import java.util.List;
import org.marjoramnotch.model.identifier.AvailabilityZone;

/**
 * The part of a snapshot that contains the evacuations.
 *
 * @param zones the latest evacuation of each zone that was ever evacuated
 * @param known zones that a worker was enrolled in, or that an order named, oldest first
 */
public record EvacuationRecord(List<ZoneEvacuation> zones, List<AvailabilityZone> known) {
    /** The state before the first command. */
    public static final EvacuationRecord EMPTY = new EvacuationRecord(List.of(), List.of());

    /** Creates an immutable record by copying the lists. */
    public EvacuationRecord {
        zones = List.copyOf(zones);
        known = List.copyOf(known);
    }
}
