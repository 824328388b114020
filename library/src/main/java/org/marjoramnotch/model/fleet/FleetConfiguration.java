package org.marjoramnotch.model.fleet;

import java.util.List;

/**
 * The complete configuration of queues, pools and teams; the highest version is in force.
 *
 * @param version the version, which increases with each change
 * @param document the configuration as sent by the operator, returned when it is read
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
    /** Creates an immutable configuration by copying the lists. */
    public FleetConfiguration {
        queues = List.copyOf(queues);
        pools = List.copyOf(pools);
        teams = List.copyOf(teams);
    }
}
