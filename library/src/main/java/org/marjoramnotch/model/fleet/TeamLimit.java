package org.marjoramnotch.model.fleet;

import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;

/**
 * A limit that a team has or had.
 *
 * @param team the team
 * @param upperLimit the resources that its running tasks may use; 0 in a dimension means no limit
 */
public record TeamLimit(TeamName team, Resources upperLimit) {
    /** Returns whether the limit allows this much for running tasks. */
    public boolean allows(Resources running) {
        return isWithin(running.processorMillis(), upperLimit.processorMillis())
                && isWithin(running.memoryMegabytes(), upperLimit.memoryMegabytes())
                && isWithin(running.accelerators(), upperLimit.accelerators());
    }

    /** Returns whether this limit allows all that the other one allows. */
    public boolean covers(TeamLimit other) {
        return team.equals(other.team)
                && isAtLeast(upperLimit.processorMillis(), other.upperLimit.processorMillis())
                && isAtLeast(upperLimit.memoryMegabytes(), other.upperLimit.memoryMegabytes())
                && isAtLeast(upperLimit.accelerators(), other.upperLimit.accelerators());
    }

    private static boolean isWithin(long running, long limit) {
        return limit == 0 || running <= limit;
    }

    private static boolean isAtLeast(long limit, long other) {
        return limit == 0 || (other != 0 && other <= limit);
    }
}
