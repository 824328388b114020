package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;

/** The resources in use by the running tasks of each team. */
final class TeamConsumption {
    private final Map<TeamName, Resources> running = new HashMap<>();

    Resources usage(TeamName team) {
        return running.getOrDefault(team, Resources.NONE);
    }

    void add(Optional<TeamName> team, Resources demand) {
        team.ifPresent(name -> running.merge(name, demand, Resources::plus));
    }

    void remove(Optional<TeamName> team, Resources demand) {
        team.ifPresent(name -> running.put(name, usage(name).minus(demand)));
    }
}
