package org.marjoramnotch.logic.placement;

import java.util.Comparator;

/** Orders teams by the arrival of their oldest waiting request, regardless of their shares. */
public final class FirstComeOrder implements TeamOrder {
    private static final Comparator<TeamBacklog> ORDER =
            Comparator.comparingLong(TeamBacklog::oldestArrivalSequence)
                    .thenComparing(TeamBacklog::team);

    @Override
    public int compare(TeamBacklog first, TeamBacklog second) {
        return ORDER.compare(first, second);
    }
}
