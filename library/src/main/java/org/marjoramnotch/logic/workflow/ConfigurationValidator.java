package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.PoolDefinition;
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
     * @throws MarjoramnotchException with {@code INVALID_RULES} if a name stands for two
     *     definitions, two queues are called at one place, two teams share a name or a key, or a
     *     queue refers to an unknown pool
     */
    public static void validate(FleetConfiguration configuration) {
        Map<ServiceName, PoolDefinition> pools = new HashMap<>();
        for (PoolDefinition pool : configuration.pools()) {
            requireSame(pools.put(pool.name(), pool), pool, "the pool name", pool.name());
        }
        Map<QueueName, QueueDefinition> queues = new HashMap<>();
        Set<CallAddress> addresses = new HashSet<>();
        for (QueueDefinition queue : configuration.queues()) {
            // A queue may be called at several places.
            QueueDefinition placeless = queue.at("", "");
            requireSame(
                    queues.put(queue.name(), placeless), placeless, "the queue name", queue.name());
            CallAddress address = CallAddress.of(queue);
            if (!addresses.add(address)) {
                throw shared("host and path prefix", address.host() + address.path());
            }
            if (!pools.containsKey(queue.pool())) {
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
        Map<String, TeamName> keys = new HashMap<>();
        for (TeamDefinition team : configuration.teams()) {
            if (!teams.add(team.name())) {
                throw shared("the team name", team.name());
            }
            for (String key : team.keys()) {
                TeamName owner = keys.put(key, team.name());
                if (owner != null && !owner.equals(team.name())) {
                    throw invalid(
                            "A key of team "
                                    + team.name()
                                    + " also belongs to another team; replace it.");
                }
            }
        }
    }

    private static <T> void requireSame(
            @Nullable T earlier, T definition, String what, Object name) {
        if (earlier != null && !earlier.equals(definition)) {
            throw shared(what, name);
        }
    }

    private static MarjoramnotchException shared(String what, Object value) {
        return invalid("Two entries share " + what + ", " + value + "; change one of them.");
    }

    private static MarjoramnotchException invalid(String message) {
        return new MarjoramnotchException(ErrorCode.INVALID_RULES, message);
    }
}
