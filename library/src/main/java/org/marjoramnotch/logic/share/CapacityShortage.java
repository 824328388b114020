package org.marjoramnotch.logic.share;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Decides in which pools capacity is short: in the last scheduling round a team's work waited for
 * capacity that work of another team held. Addresses loads in which teams compete; a team that
 * fills a pool alone gains nothing from another order. Work without a team counts as one team.
 */
public final class CapacityShortage {
    private final Map<ServiceName, Set<Optional<TeamName>>> waitingByPool = new HashMap<>();
    private Set<ServiceName> shortPools = Set.of();

    /** Begins a round; the pools that were short in the last one stay so until its end. */
    public void beginRound() {
        waitingByPool.clear();
    }

    /** Adds a team of which a task could not be placed in the round for lack of capacity. */
    public void addWaiting(ServiceName pool, Optional<TeamName> team) {
        waitingByPool.computeIfAbsent(pool, name -> new HashSet<>()).add(team);
    }

    /** Returns whether a team was added in this round. */
    public boolean isWaiting(ServiceName pool, Optional<TeamName> team) {
        return waitingByPool.getOrDefault(pool, Set.of()).contains(team);
    }

    /**
     * Ends a round.
     *
     * @param holders returns the teams whose work holds capacity of a pool
     */
    public void endRound(Function<ServiceName, Set<Optional<TeamName>>> holders) {
        shortPools =
                waitingByPool.entrySet().stream()
                        .filter(
                                entry ->
                                        isHeldByOther(
                                                entry.getValue(), holders.apply(entry.getKey())))
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
    }

    /** Returns the pools whose capacity was short in the last complete round. */
    public Set<ServiceName> shortPools() {
        return shortPools;
    }

    private static boolean isHeldByOther(
            Set<Optional<TeamName>> waiting, Set<Optional<TeamName>> holders) {
        return holders.size() > 1 || (holders.size() == 1 && !holders.containsAll(waiting));
    }
}
