package org.marjoramnotch.logic.placement;

import java.util.Comparator;

/** Serves teams by the request that has waited longest, whatever their shares. */
public final class FirstComeOrder implements TeamOrder {
    private static final Comparator<TeamBacklog> ORDER =
            Comparator.comparingLong(TeamBacklog::oldestArrivalSequence)
                    .thenComparing(TeamBacklog::team);

    @Override
    public int compare(TeamBacklog first, TeamBacklog second) {
        return ORDER.compare(first, second);
    }
}
