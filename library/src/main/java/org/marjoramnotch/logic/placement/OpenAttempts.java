package org.marjoramnotch.logic.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.model.endpoint.OpenAttempt;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.VmId;

/**
 * The open attempts, indexed by identifier, with the feeds of each entry process and counts per
 * pool and team.
 */
final class OpenAttempts {
    private final Map<AttemptId, OpenAttempt> byId = new LinkedHashMap<>();
    private final Map<EntryProcess, Set<AttemptId>> feeds = new HashMap<>();
    private final Map<PoolTeam, Integer> counts = new HashMap<>();

    private record EntryProcess(VmId entry, String incarnation) {}

    private record PoolTeam(SlotPoolId pool, TeamName team) {}

    Optional<OpenAttempt> find(AttemptId attempt) {
        return Optional.ofNullable(byId.get(attempt));
    }

    int size() {
        return byId.size();
    }

    int count(SlotPoolId pool, TeamName team) {
        return counts.getOrDefault(new PoolTeam(pool, team), 0);
    }

    List<AttemptId> feeds(VmId entry, String incarnation) {
        return List.copyOf(feeds.getOrDefault(new EntryProcess(entry, incarnation), Set.of()));
    }

    void add(SlotPoolId pool, OpenAttempt attempt) {
        Invariant.check(byId.put(attempt.attempt(), attempt) == null, "An attempt is opened twice");
        counts.merge(new PoolTeam(pool, attempt.team()), 1, Integer::sum);
        if (attempt.kind() == SlotKind.FEED) {
            feeds.computeIfAbsent(process(attempt), process -> new LinkedHashSet<>())
                    .add(attempt.attempt());
        }
    }

    void remove(SlotPoolId pool, OpenAttempt attempt) {
        Invariant.check(byId.remove(attempt.attempt()) != null, "An attempt ends that is not open");
        counts.computeIfPresent(
                new PoolTeam(pool, attempt.team()), (key, count) -> count > 1 ? count - 1 : null);
        if (attempt.kind() == SlotKind.FEED) {
            feeds.computeIfPresent(
                    process(attempt),
                    (process, all) -> {
                        all.remove(attempt.attempt());
                        return all.isEmpty() ? null : all;
                    });
        }
    }

    List<OpenAttempt> all() {
        return new ArrayList<>(byId.values());
    }

    void clear() {
        byId.clear();
        feeds.clear();
        counts.clear();
    }

    private static EntryProcess process(OpenAttempt attempt) {
        return new EntryProcess(attempt.attempt().entry(), attempt.attempt().incarnation());
    }
}
