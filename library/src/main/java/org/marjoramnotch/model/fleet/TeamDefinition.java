package org.marjoramnotch.model.fleet;

import java.util.List;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;

/**
 * A team.
 *
 * @param name the team
 * @param keys the keys that act for it; kept in clear since the configuration is read back whole
 * @param weight its share when all is full
 * @param upperLimit what it may have running; 0 in a dimension means no limit
 */
public record TeamDefinition(TeamName name, List<String> keys, long weight, Resources upperLimit) {
    /** Copies the list, so that the team stays as it is. */
    public TeamDefinition {
        keys = List.copyOf(keys);
    }

    /** Tells whether the team may have this much running. */
    public boolean allows(Resources running) {
        return isWithin(running.processorMillis(), upperLimit.processorMillis())
                && isWithin(running.memoryMegabytes(), upperLimit.memoryMegabytes())
                && isWithin(running.accelerators(), upperLimit.accelerators());
    }

    private static boolean isWithin(long running, long limit) {
        return limit == 0 || running <= limit;
    }
}
