package org.marjoramnotch.logic.placement;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;

/** Chooses among the endpoints of a pool that have a free slot. */
public interface EndpointSelector {
    /** Takes an endpoint that has a free slot, or whose weight has changed. */
    void put(TrackedEndpoint endpoint);

    /** Forgets an endpoint that has none. */
    void remove(TrackedEndpoint endpoint);

    /**
     * Chooses an endpoint whose lease runs.
     *
     * @param zone where the request entered
     * @param excluded endpoints that must not be chosen
     */
    Optional<TrackedEndpoint> select(
            long nowMilliseconds, AvailabilityZone zone, List<EndpointId> excluded);
}
