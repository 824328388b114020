package org.marjoramnotch.logic.placement;

import java.util.Comparator;

/**
 * Serves the team that holds the fewest slots for its share. Slots that a team leaves unused go to
 * the others and return to it as they become free. A team that holds none goes before all that hold
 * some, so that no share is too small to be served.
 */
public final class WeightedFairOrder implements TeamOrder {
    private static final Comparator<TeamBacklog> TIE_BREAKER =
            Comparator.comparingLong(TeamBacklog::oldestArrivalSequence)
                    .thenComparing(TeamBacklog::team);

    @Override
    public int compare(TeamBacklog first, TeamBacklog second) {
        int byHeld =
                Long.compare(
                        (long) first.outstanding() * second.share(),
                        (long) second.outstanding() * first.share());
        return byHeld != 0 ? byHeld : TIE_BREAKER.compare(first, second);
    }
}
