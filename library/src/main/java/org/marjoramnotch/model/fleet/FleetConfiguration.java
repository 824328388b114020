package org.marjoramnotch.model.fleet;

import java.util.List;

/**
 * A whole configuration of queues, pools and teams; the highest version is in force.
 *
 * @param version rises with each change
 * @param document the configuration as the operator sent it, to be read back
 * @param queues the queues
 * @param pools the pools
 * @param teams the teams
 */
public record FleetConfiguration(
        long version,
        String document,
        List<QueueDefinition> queues,
        List<PoolDefinition> pools,
        List<TeamDefinition> teams) {
    /** Copies the lists, so that the configuration stays as it is. */
    public FleetConfiguration {
        queues = List.copyOf(queues);
        pools = List.copyOf(pools);
        teams = List.copyOf(teams);
    }
}
