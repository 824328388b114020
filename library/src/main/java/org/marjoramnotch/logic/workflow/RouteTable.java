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

/** Resolves the queue and team of calls under one version of the configuration. */
final class RouteTable {
    private static final Pattern WORKFLOW_NAME = Pattern.compile("[0-9a-f]{16}");

    /**
     * The queue, workflow and team that a call refers to.
     *
     * @param queue the queue
     * @param workflow the workflow that the path names; empty if the path ends with the prefix
     * @param team the team of the call's key; empty if the call has no valid key
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
     * Resolves the target of a call.
     *
     * @throws MarjoramnotchException with {@code UNKNOWN_QUEUE}, {@code KEY_REFUSED} or, for a
     *     malformed workflow name, {@code INVALID_REQUEST}
     */
    Route resolve(CallTarget target) {
        QueueDefinition queue =
                (target.queue().isPresent()
                                ? findByName(target.queue().get())
                                : findByHostAndPath(target))
                        .orElseThrow(
                                () ->
                                        new MarjoramnotchException(
                                                ErrorCode.UNKNOWN_QUEUE,
                                                "No queue matches this name, or this host and path;"
                                                        + " check them."));
        Optional<TeamName> team = target.key().map(byKey::get);
        if (team.isEmpty() && !queue.open()) {
            throw new MarjoramnotchException(
                    ErrorCode.KEY_REFUSED,
                    "The call has no key or an invalid one; send a key of the team.");
        }
        String prefix = target.queue().isPresent() ? "" : queue.pathPrefix();
        return new Route(queue, parseWorkflowName(target.path().substring(prefix.length())), team);
    }

    private Optional<QueueDefinition> findByName(QueueName name) {
        return Optional.ofNullable(byName.get(name));
    }

    private Optional<QueueDefinition> findByHostAndPath(CallTarget target) {
        return byHost.getOrDefault(target.host(), List.of()).stream()
                .filter(candidate -> target.path().startsWith(candidate.pathPrefix()))
                .findFirst();
    }

    private static Optional<JobId> parseWorkflowName(String name) {
        if (name.isEmpty()) {
            return Optional.empty();
        }
        if (!WORKFLOW_NAME.matcher(name).matches()) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_REQUEST,
                    "A workflow name must be 16 lower-case hexadecimal digits; correct it.");
        }
        return Optional.of(new JobId(name));
    }
}
