package org.marjoramnotch.logic.workflow;

import java.util.HashSet;
import java.util.Set;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

/** Checks that a configuration fits together. */
public final class ConfigurationValidator {
    private ConfigurationValidator() {}

    /**
     * Refuses a configuration whose parts contradict one another.
     *
     * @throws MarjoramnotchException with {@code INVALID_RULES}
     */
    public static void validate(FleetConfiguration configuration) {
        Set<ServiceName> pools = new HashSet<>();
        configuration
                .pools()
                .forEach(pool -> require(pools.add(pool.name()), "a pool", pool.name()));
        Set<QueueName> queues = new HashSet<>();
        Set<String> places = new HashSet<>();
        for (QueueDefinition queue : configuration.queues()) {
            require(queues.add(queue.name()), "a queue", queue.name());
            String place = queue.host() + queue.pathPrefix();
            require(places.add(place), "host and prefix", place);
            if (!pools.contains(queue.pool())) {
                throw invalid(
                        "Queue "
                                + queue.name()
                                + " names the pool "
                                + queue.pool()
                                + ", which the"
                                + " configuration does not have; add the pool.");
            }
        }
        Set<TeamName> teams = new HashSet<>();
        Set<String> keys = new HashSet<>();
        for (TeamDefinition team : configuration.teams()) {
            require(teams.add(team.name()), "a team", team.name());
            for (String key : team.keys()) {
                if (!keys.add(key)) {
                    throw invalid(
                            "A key of team " + team.name() + " is also another's; replace it.");
                }
            }
        }
    }

    private static void require(boolean first, String what, Object value) {
        if (!first) {
            throw invalid("Two entries share " + what + ", " + value + "; change one of them.");
        }
    }

    private static MarjoramnotchException invalid(String message) {
        return new MarjoramnotchException(ErrorCode.INVALID_RULES, message);
    }
}
