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
    private static final Pattern WORKFLOW_NAME = Pattern.compile("[0-9A-Fa-f]{16}");

    /**
     * The queue, workflow and team that a call refers to.
     *
     * @param queue the queue
     * @param workflow the workflow that the path names; empty if the path ends with the prefix
     * @param team the team of the call's key; empty if the call has no valid key
     */
    record Route(QueueDefinition queue, Optional<JobId> workflow, Optional<TeamName> team) {}

    /** The beginning of the paths of a queue's calls. */
    private record Prefix(String path, QueueDefinition queue) {}

    /** The queue of a call, and what its path names in the queue. */
    private record Match(QueueDefinition queue, String name) {}

    private final Map<QueueName, QueueDefinition> byName = new HashMap<>();
    private final Map<String, List<Prefix>> byHost = new HashMap<>();
    private final Map<String, TeamName> byKey = new HashMap<>();

    RouteTable(FleetConfiguration configuration) {
        for (QueueDefinition queue : configuration.queues()) {
            byName.put(queue.name(), queue);
            CallAddress address = CallAddress.of(queue);
            byHost.computeIfAbsent(address.host(), host -> new ArrayList<>())
                    .add(new Prefix(address.path(), queue));
        }
        Comparator<Prefix> longestFirst =
                Comparator.comparingInt((Prefix prefix) -> prefix.path().length()).reversed();
        byHost.values().forEach(prefixes -> prefixes.sort(longestFirst));
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
        Match match =
                target.queue()
                        .map(name -> findByName(name, target.path()))
                        .orElseGet(() -> findByAddress(target))
                        .orElseThrow(
                                () ->
                                        new MarjoramnotchException(
                                                ErrorCode.UNKNOWN_QUEUE,
                                                "No queue matches this name, or this host and path;"
                                                        + " check them."));
        Optional<TeamName> team = target.key().map(byKey::get);
        if (team.isEmpty() && !match.queue().open()) {
            throw new MarjoramnotchException(
                    ErrorCode.KEY_REFUSED,
                    "The call has no key or an invalid one; send a key of the team.");
        }
        return new Route(match.queue(), parseWorkflowName(match.name()), team);
    }

    private Optional<Match> findByName(QueueName name, String workflow) {
        return Optional.ofNullable(byName.get(name)).map(queue -> new Match(queue, workflow));
    }

    private Optional<Match> findByAddress(CallTarget target) {
        CallAddress address = CallAddress.of(target.host(), target.path());
        return byHost.getOrDefault(address.host(), List.of()).stream()
                .filter(prefix -> address.path().startsWith(prefix.path()))
                .findFirst()
                .map(
                        prefix ->
                                new Match(
                                        prefix.queue(),
                                        address.path().substring(prefix.path().length())));
    }

    private static Optional<JobId> parseWorkflowName(String name) {
        if (name.isEmpty()) {
            return Optional.empty();
        }
        if (!WORKFLOW_NAME.matcher(name).matches()) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_REQUEST,
                    "A workflow name must be 16 hexadecimal digits; correct it.");
        }
        return Optional.of(new JobId(name));
    }
}
