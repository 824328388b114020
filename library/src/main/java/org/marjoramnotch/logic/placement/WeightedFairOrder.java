package org.marjoramnotch.logic.placement;

import java.util.Comparator;

/**
 * Orders teams by the number of slots that they hold relative to their share, lowest first. Slots
 * that a team does not use go to other teams and return to it as they become free. A team without
 * slots precedes all teams with slots, so that even the smallest share is served.
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
