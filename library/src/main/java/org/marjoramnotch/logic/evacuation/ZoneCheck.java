package org.marjoramnotch.logic.evacuation;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.AvailabilityZone;

/** Refuses orders for availability zones that do not exist, such as misspelled ones. */
public final class ZoneCheck {
    private final Collection<AvailabilityZone> configured;
    private final Evacuations evacuations;

    /**
     * Creates the check.
     *
     * @param configured the availability zones that the settings list; may be empty
     */
    public ZoneCheck(Collection<AvailabilityZone> configured, Evacuations evacuations) {
        this.configured = configured;
        this.evacuations = evacuations;
    }

    /**
     * Throws an exception unless a zone is known.
     *
     * @throws MarjoramnotchException with {@code INVALID_REQUEST} if it is unknown, or with {@code
     *     NO_LEADER} if no zone is known, so that it cannot be determined whether it exists
     */
    public void requireKnown(AvailabilityZone zone) {
        Set<AvailabilityZone> known = new TreeSet<>(evacuations.known());
        known.addAll(configured);
        if (known.isEmpty()) {
            throw new MarjoramnotchException(
                    ErrorCode.NO_LEADER,
                    "No availability zone is known yet; list them in the setting"
                            + " availabilityZones, or try again once a worker has reported.");
        }
        if (!known.contains(zone)) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_REQUEST,
                    "Availability zone " + zone + " is unknown; name one of " + known + ".");
        }
    }
}
