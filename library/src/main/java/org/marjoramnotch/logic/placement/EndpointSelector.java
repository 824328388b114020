package org.marjoramnotch.logic.placement;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;

/** Selects an endpoint among those of a pool that have a free slot. */
public interface EndpointSelector {
    /** Adds an endpoint that has a free slot, or updates one whose load has changed. */
    void put(TrackedEndpoint endpoint);

    /** Removes an endpoint that no longer has a free slot. */
    void remove(TrackedEndpoint endpoint);

    /**
     * Selects an endpoint whose lease has not expired.
     *
     * @param zone the availability zone of the entry that received the request
     * @param excluded endpoints that must not be selected
     */
    Optional<TrackedEndpoint> select(
            long nowMilliseconds, AvailabilityZone zone, List<EndpointId> excluded);
}
