package org.marjoramnotch.logic.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;

/**
 * Selects the endpoint with the lowest weighted load, preferring the availability zone of the
 * request unless an endpoint of another zone is better by a margin. Ties go to the least recently
 * selected endpoint.
 */
public final class LeastLoadedSelector implements EndpointSelector {
    private static final double ZONE_MARGIN = 0.25;
    private static final Comparator<RankedEndpoint> ORDER =
            Comparator.comparingDouble(RankedEndpoint::weight)
                    .thenComparingLong(RankedEndpoint::lastSelected)
                    .thenComparing(ranked -> ranked.endpoint().id());

    private final SlotKind kind;
    private final Map<AvailabilityZone, TreeSet<RankedEndpoint>> zones = new TreeMap<>();
    private final Map<EndpointId, RankedEndpoint> ranked = new HashMap<>();
    private final Map<EndpointId, Long> lastSelected = new HashMap<>();
    private long selectionCount;

    private record RankedEndpoint(double weight, long lastSelected, TrackedEndpoint endpoint) {}

    /** Creates a selector that compares endpoints by their load of this kind. */
    public LeastLoadedSelector(SlotKind kind) {
        this.kind = kind;
    }

    @Override
    public void put(TrackedEndpoint endpoint) {
        remove(endpoint);
        long chosen = lastSelected.getOrDefault(endpoint.id(), 0L);
        RankedEndpoint rank = new RankedEndpoint(endpoint.weightedLoad(kind), chosen, endpoint);
        ranked.put(endpoint.id(), rank);
        zones.computeIfAbsent(endpoint.zone(), zone -> new TreeSet<>(ORDER)).add(rank);
    }

    @Override
    public void remove(TrackedEndpoint endpoint) {
        RankedEndpoint rank = ranked.remove(endpoint.id());
        if (rank != null) {
            zones.values().forEach(zone -> zone.remove(rank));
        }
    }

    @Override
    public Optional<TrackedEndpoint> select(
            long nowMilliseconds, AvailabilityZone zone, List<EndpointId> excluded) {
        @Nullable RankedEndpoint best = null;
        double bestWeight = 0;
        for (Map.Entry<AvailabilityZone, TreeSet<RankedEndpoint>> entry : zones.entrySet()) {
            @Nullable RankedEndpoint first = first(entry.getValue(), nowMilliseconds, excluded);
            if (first == null) {
                continue;
            }
            double margin = entry.getKey().equals(zone) ? 0 : ZONE_MARGIN;
            double weight = first.weight() == 0 ? 0 : first.weight() + margin;
            if (best == null || weight < bestWeight) {
                best = first;
                bestWeight = weight;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        lastSelected.put(best.endpoint().id(), ++selectionCount);
        return Optional.of(best.endpoint());
    }

    private static @Nullable RankedEndpoint first(
            TreeSet<RankedEndpoint> zone, long nowMilliseconds, List<EndpointId> excluded) {
        for (RankedEndpoint candidate : zone) {
            TrackedEndpoint endpoint = candidate.endpoint();
            if (endpoint.hasValidLease(nowMilliseconds) && !excluded.contains(endpoint.id())) {
                return candidate;
            }
        }
        return null;
    }
}
