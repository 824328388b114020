package org.marjoramnotch.logic.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;

/** Selects endpoints in turn, regardless of their load and availability zone. */
public final class RoundRobinSelector implements EndpointSelector {
    private final TreeMap<EndpointId, TrackedEndpoint> endpoints = new TreeMap<>();
    private @Nullable EndpointId last;

    @Override
    public void put(TrackedEndpoint endpoint) {
        endpoints.put(endpoint.id(), endpoint);
    }

    @Override
    public void remove(TrackedEndpoint endpoint) {
        endpoints.remove(endpoint.id());
    }

    @Override
    public Optional<TrackedEndpoint> select(
            long nowMilliseconds, AvailabilityZone zone, List<EndpointId> excluded) {
        Map<EndpointId, TrackedEndpoint> after =
                last == null ? endpoints : endpoints.tailMap(last, false);
        Optional<TrackedEndpoint> chosen = first(after, nowMilliseconds, excluded);
        if (chosen.isEmpty()) {
            chosen = first(endpoints, nowMilliseconds, excluded);
        }
        chosen.ifPresent(endpoint -> last = endpoint.id());
        return chosen;
    }

    private static Optional<TrackedEndpoint> first(
            Map<EndpointId, TrackedEndpoint> candidates,
            long nowMilliseconds,
            List<EndpointId> excluded) {
        return candidates.values().stream()
                .filter(endpoint -> endpoint.hasValidLease(nowMilliseconds))
                .filter(endpoint -> !excluded.contains(endpoint.id()))
                .findFirst();
    }
}
