package org.marjoramnotch.model.fleet;

import java.util.List;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;

/**
 * A team.
 *
 * @param name the name of the team
 * @param keys the keys of the team; stored in plain text because the complete configuration can be
 *     read back
 * @param weight its relative share when capacity is scarce
 * @param upperLimit the resources that its running tasks may use; 0 in a dimension means no limit
 */
public record TeamDefinition(TeamName name, List<String> keys, long weight, Resources upperLimit) {
    /** Creates an immutable team by copying the list. */
    public TeamDefinition {
        keys = List.copyOf(keys);
    }

    /** Returns the limit of the team. */
    public TeamLimit limit() {
        return new TeamLimit(name, upperLimit);
    }

    /** Returns whether the team may use this much for running tasks. */
    public boolean allows(Resources running) {
        return limit().allows(running);
    }
}
