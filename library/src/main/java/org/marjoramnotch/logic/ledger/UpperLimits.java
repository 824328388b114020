package org.marjoramnotch.logic.ledger;

import org.marjoramnotch.model.identifier.TeamName;

/**
 * Provides the part of each team's fleet-wide upper limit that this cell may use. In a fleet with a
 * single cell this is the whole limit. In a larger fleet it is the part leased from the fleet
 * group; the sum of all parts never exceeds the limit.
 */
@FunctionalInterface
public interface UpperLimits {
    /**
     * Returns the maximum number of attempts and tasks of the team that may run in this cell, or 0
     * if the team is unknown.
     */
    int limitInCell(TeamName team);
}
