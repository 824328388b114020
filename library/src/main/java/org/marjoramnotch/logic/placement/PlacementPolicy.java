package org.marjoramnotch.logic.placement;

import java.util.function.Function;
import org.marjoramnotch.model.endpoint.SlotKind;

/**
 * The behaviours that a leader's placement is made of.
 *
 * @param teamOrder which team is served next
 * @param endpointSelector creates the choice of endpoints for a pool
 */
public record PlacementPolicy(
        TeamOrder teamOrder, Function<SlotKind, EndpointSelector> endpointSelector) {
    /** Weighted fair between teams, least loaded between endpoints. */
    public static final PlacementPolicy FAIR =
            new PlacementPolicy(new WeightedFairOrder(), LeastLoadedSelector::new);

    /** First come, first served, and endpoints in turn; the baseline of measurements. */
    public static final PlacementPolicy FIRST_COME =
            new PlacementPolicy(new FirstComeOrder(), kind -> new RoundRobinSelector());
}
