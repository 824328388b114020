package org.marjoramnotch.logic.placement;

import java.util.Comparator;

/** Serves teams in the order in which their next requests arrived, whatever their shares. */
public final class ArrivalOrder implements TeamOrder {
    private static final Comparator<TeamBacklog> ORDER =
            Comparator.comparingLong(TeamBacklog::headSequence).thenComparing(TeamBacklog::team);

    @Override
    public int compare(TeamBacklog first, TeamBacklog second) {
        return ORDER.compare(first, second);
    }
}
