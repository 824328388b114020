package org.marjoramnotch.logic.placement;

import java.util.function.Function;
import org.marjoramnotch.model.endpoint.SlotKind;

/**
 * The strategies that a leader's placement uses.
 *
 * @param teamOrder determines which team is served next
 * @param endpointSelector creates the endpoint selector of a pool
 */
public record PlacementPolicy(
        TeamOrder teamOrder, Function<SlotKind, EndpointSelector> endpointSelector) {
    /** Weighted fair sharing between teams and the least loaded endpoint. */
    public static final PlacementPolicy FAIR =
            new PlacementPolicy(new WeightedFairOrder(), LeastLoadedSelector::new);

    /** First come, first served and round-robin endpoints; the baseline of benchmarks. */
    public static final PlacementPolicy FIRST_COME =
            new PlacementPolicy(new FirstComeOrder(), kind -> new RoundRobinSelector());
}
