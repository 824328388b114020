package org.marjoramnotch.logic.workflow;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

/** The configuration in force, with its queues, teams and pools by name. */
final class ConfigurationInForce {
    private @Nullable FleetConfiguration configuration;
    private long proposedEpochMilliseconds;
    private final Map<QueueName, QueueDefinition> queues = new HashMap<>();
    private final Map<TeamName, TeamDefinition> teams = new HashMap<>();
    private final Set<ServiceName> pools = new HashSet<>();

    /** Replaces the configuration. */
    void activate(FleetConfiguration newConfiguration, long proposedAtEpochMilliseconds) {
        configuration = newConfiguration;
        proposedEpochMilliseconds = proposedAtEpochMilliseconds;
        queues.clear();
        teams.clear();
        pools.clear();
        newConfiguration.queues().forEach(queue -> queues.put(queue.name(), queue));
        newConfiguration.teams().forEach(team -> teams.put(team.name(), team));
        newConfiguration.pools().forEach(pool -> pools.add(pool.name()));
    }

    Optional<FleetConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /** Returns when a leader proposed it, in Unix time; empty if this is not known. */
    OptionalLong proposedEpochMilliseconds() {
        return proposedEpochMilliseconds == 0
                ? OptionalLong.empty()
                : OptionalLong.of(proposedEpochMilliseconds);
    }

    /** Returns whether a configuration of this or a later version is in force. */
    boolean isAtLeast(long version) {
        return configuration != null && version <= configuration.version();
    }

    Map<QueueName, QueueDefinition> queues() {
        return queues;
    }

    /**
     * Returns the definition of a queue in force if it is the same, so that few copies are kept.
     */
    QueueDefinition shared(QueueDefinition queue) {
        QueueDefinition inForce = queues.get(queue.name());
        return queue.equals(inForce) ? inForce : queue;
    }

    Optional<TeamDefinition> team(TeamName name) {
        return Optional.ofNullable(teams.get(name));
    }

    Collection<TeamDefinition> teams() {
        return teams.values();
    }

    Set<ServiceName> pools() {
        return pools;
    }

    /** Returns the pools of the configuration, of workers, and of workflows. */
    Set<ServiceName> poolsInUse(
            Collection<WorkerEntry> workers, Collection<WorkflowEntry> workflows) {
        Set<ServiceName> inUse = new HashSet<>(pools);
        workers.forEach(entry -> inUse.add(entry.worker().pool()));
        workflows.forEach(
                entry -> {
                    inUse.add(entry.queue().pool());
                    inUse.addAll(entry.formerPools());
                });
        return inUse;
    }

    /** Returns the teams of the configuration and of workflows. */
    Set<TeamName> teamsInUse(Collection<WorkflowEntry> workflows) {
        Set<TeamName> names = new HashSet<>(teams.keySet());
        workflows.forEach(entry -> entry.workflow().team().ifPresent(names::add));
        return names;
    }
}
