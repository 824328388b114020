package org.marjoramnotch.logic.ledger;

import org.marjoramnotch.model.identifier.TeamName;

/**
 * Tells how much of a team's fleet-wide upper limit this cell may use. In a fleet of one cell that
 * is the whole limit; in a larger one it is the part leased from the fleet group, and the sum of
 * the parts never exceeds the limit.
 */
@FunctionalInterface
public interface UpperLimits {
    /** Returns the most attempts and tasks of the team that may run in this cell; 0 if unknown. */
    int limitInCell(TeamName team);
}
