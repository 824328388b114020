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
 * Chooses the endpoint of the least weight, in the availability zone of the request unless another
 * one is better by a margin; among equals the one that was chosen longest ago.
 */
public final class LeastLoadedChoice implements EndpointChoice {
    private static final double ZONE_MARGIN = 0.25;
    private static final Comparator<Ranked> ORDER =
            Comparator.comparingDouble(Ranked::weight)
                    .thenComparingLong(Ranked::lastChosen)
                    .thenComparing(ranked -> ranked.endpoint().id());

    private final SlotKind kind;
    private final Map<AvailabilityZone, TreeSet<Ranked>> zones = new TreeMap<>();
    private final Map<EndpointId, Ranked> ranked = new HashMap<>();
    private final Map<EndpointId, Long> lastChosen = new HashMap<>();
    private long choices;

    private record Ranked(double weight, long lastChosen, EndpointLoad endpoint) {}

    /** Creates a choice by the load of this kind. */
    public LeastLoadedChoice(SlotKind kind) {
        this.kind = kind;
    }

    @Override
    public void put(EndpointLoad endpoint) {
        remove(endpoint);
        long chosen = lastChosen.getOrDefault(endpoint.id(), 0L);
        Ranked rank = new Ranked(endpoint.weight(kind), chosen, endpoint);
        ranked.put(endpoint.id(), rank);
        zones.computeIfAbsent(endpoint.zone(), zone -> new TreeSet<>(ORDER)).add(rank);
    }

    @Override
    public void remove(EndpointLoad endpoint) {
        Ranked rank = ranked.remove(endpoint.id());
        if (rank != null) {
            zones.values().forEach(zone -> zone.remove(rank));
        }
    }

    @Override
    public Optional<EndpointLoad> choose(
            long nowMilliseconds, AvailabilityZone zone, List<EndpointId> excluded) {
        @Nullable Ranked best = null;
        double bestWeight = 0;
        for (Map.Entry<AvailabilityZone, TreeSet<Ranked>> entry : zones.entrySet()) {
            @Nullable Ranked first = first(entry.getValue(), nowMilliseconds, excluded);
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
        lastChosen.put(best.endpoint().id(), ++choices);
        return Optional.of(best.endpoint());
    }

    private static @Nullable Ranked first(
            TreeSet<Ranked> zone, long nowMilliseconds, List<EndpointId> excluded) {
        for (Ranked candidate : zone) {
            EndpointLoad endpoint = candidate.endpoint();
            if (endpoint.isLive(nowMilliseconds) && !excluded.contains(endpoint.id())) {
                return candidate;
            }
        }
        return null;
    }
}
