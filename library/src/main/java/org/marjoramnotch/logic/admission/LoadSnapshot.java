package org.marjoramnotch.logic.admission;

import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * The load as measured in one scheduling round.
 *
 * @param pools load of the pools with waiting work
 * @param advisor load of the placement advisor
 * @param teams load of all teams
 */
public record LoadSnapshot(
        Map<ServiceName, PoolLoad> pools, AdvisorLoad advisor, Map<TeamName, TeamLoad> teams) {
    /** A snapshot without any load. */
    public static final LoadSnapshot NONE = new LoadSnapshot(Map.of(), AdvisorLoad.NONE, Map.of());

    /** Returns the load of a pool. */
    Optional<PoolLoad> pool(ServiceName name) {
        return Optional.ofNullable(pools.get(name));
    }

    /** Returns the load of a team. */
    Optional<TeamLoad> team(Optional<TeamName> name) {
        return name.map(teams::get);
    }
}
