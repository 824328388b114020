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

/** Checks the consistency of a configuration. */
public final class ConfigurationValidator {
    private ConfigurationValidator() {}

    /**
     * Validates a configuration.
     *
     * @throws MarjoramnotchException with {@code INVALID_RULES} if a name, route or key is used
     *     twice or a queue refers to an unknown pool
     */
    public static void validate(FleetConfiguration configuration) {
        Set<ServiceName> pools = new HashSet<>();
        configuration
                .pools()
                .forEach(pool -> require(pools.add(pool.name()), "the pool name", pool.name()));
        Set<QueueName> queues = new HashSet<>();
        Set<CallAddress> addresses = new HashSet<>();
        for (QueueDefinition queue : configuration.queues()) {
            require(queues.add(queue.name()), "the queue name", queue.name());
            CallAddress address = CallAddress.of(queue);
            require(
                    addresses.add(address),
                    "host and path prefix",
                    address.host() + address.path());
            if (!pools.contains(queue.pool())) {
                throw invalid(
                        "Queue "
                                + queue.name()
                                + " refers to the pool "
                                + queue.pool()
                                + ", which the"
                                + " configuration does not define; add the pool.");
            }
        }
        Set<TeamName> teams = new HashSet<>();
        Set<String> keys = new HashSet<>();
        for (TeamDefinition team : configuration.teams()) {
            require(teams.add(team.name()), "the team name", team.name());
            for (String key : team.keys()) {
                if (!keys.add(key)) {
                    throw invalid(
                            "A key of team "
                                    + team.name()
                                    + " also belongs to another team; replace it.");
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
