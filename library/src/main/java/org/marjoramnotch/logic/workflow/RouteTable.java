package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.CallTarget;

/** Finds queue and team of callers' calls under one version of the configuration. */
final class RouteTable {
    private static final Pattern WORKFLOW_NAME = Pattern.compile("[0-9a-f]{16}");

    /**
     * What a call is about.
     *
     * @param queue the queue
     * @param workflow the workflow that the path names; empty if it ends with the prefix
     * @param team the team of its key, if a valid one came with it
     */
    record Route(QueueDefinition queue, Optional<JobId> workflow, Optional<TeamName> team) {}

    private final Map<QueueName, QueueDefinition> byName = new HashMap<>();
    private final Map<String, List<QueueDefinition>> byHost = new HashMap<>();
    private final Map<String, TeamName> byKey = new HashMap<>();

    RouteTable(FleetConfiguration configuration) {
        for (QueueDefinition queue : configuration.queues()) {
            byName.put(queue.name(), queue);
            byHost.computeIfAbsent(queue.host(), host -> new ArrayList<>()).add(queue);
        }
        Comparator<QueueDefinition> longestFirst =
                Comparator.comparingInt((QueueDefinition queue) -> queue.pathPrefix().length())
                        .reversed();
        byHost.values().forEach(queues -> queues.sort(longestFirst));
        for (TeamDefinition team : configuration.teams()) {
            team.keys().forEach(key -> byKey.put(key, team.name()));
        }
    }

    /**
     * Returns what a call is about.
     *
     * @throws MarjoramnotchException with {@code UNKNOWN_QUEUE} or {@code KEY_REFUSED}
     */
    Route resolve(CallTarget target) {
        QueueDefinition queue =
                (target.queue().isPresent() ? named(target.queue().get()) : matching(target))
                        .orElseThrow(
                                () ->
                                        new MarjoramnotchException(
                                                ErrorCode.UNKNOWN_QUEUE,
                                                "No queue has this name, or this host and path;"
                                                        + " check them."));
        Optional<TeamName> team = target.key().map(byKey::get);
        if (team.isEmpty() && !queue.open()) {
            throw new MarjoramnotchException(
                    ErrorCode.KEY_REFUSED,
                    "No key came with the call, or it is not valid; send a key of the team.");
        }
        String prefix = target.queue().isPresent() ? "" : queue.pathPrefix();
        return new Route(queue, workflowOf(target.path().substring(prefix.length())), team);
    }

    private Optional<QueueDefinition> named(QueueName name) {
        return Optional.ofNullable(byName.get(name));
    }

    private Optional<QueueDefinition> matching(CallTarget target) {
        return byHost.getOrDefault(target.host(), List.of()).stream()
                .filter(candidate -> target.path().startsWith(candidate.pathPrefix()))
                .findFirst();
    }

    private static Optional<JobId> workflowOf(String name) {
        if (name.isEmpty()) {
            return Optional.empty();
        }
        if (!WORKFLOW_NAME.matcher(name).matches()) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_REQUEST,
                    "A workflow is named by 16 hexadecimal digits; send such a name.");
        }
        return Optional.of(new JobId(name));
    }
}
