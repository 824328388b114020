package org.marjoramnotch.logic.workflow;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.share.DominantShares;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

/** Logs and counts which teams are above their share while capacity is short. */
final class TeamShareLog {
    /** The line names the teams that are furthest above their shares. */
    private static final int MAXIMUM_TEAMS = 5;

    /** A team's share of a pool as a multiple of the share to which it is entitled. */
    private record TeamShare(ServiceName pool, Optional<TeamName> team, double multiple) {
        @Override
        public String toString() {
            String name = team.map(TeamName::value).orElse("none");
            return String.format(Locale.ROOT, "%s/%s:%.1f", pool, name, multiple);
        }
    }

    private final RunMetricsListener metrics;
    private final Map<ServiceName, List<TeamShare>> aboveByPool = new TreeMap<>();

    TeamShareLog(RunMetricsListener metrics) {
        this.metrics = metrics;
    }

    /** Handles the shares in a round before which the capacity of a pool was short. */
    void onShortRound(ServiceName pool, DominantShares shares, double entitledShare) {
        aboveByPool.put(
                pool,
                shares.teams().stream()
                        .filter(team -> DominantShares.isAbove(shares.shareOf(team), entitledShare))
                        .map(
                                team ->
                                        new TeamShare(
                                                pool, team, shares.shareOf(team) / entitledShare))
                        .toList());
    }

    /** Logs the pools that were short since the last call; to be called about once a second. */
    void log(LeaderOutput output) {
        if (aboveByPool.isEmpty()) {
            return;
        }
        List<TeamShare> above = aboveByPool.values().stream().flatMap(List::stream).toList();
        String largest =
                above.stream()
                        .sorted(Comparator.comparingDouble(TeamShare::multiple).reversed())
                        .limit(MAXIMUM_TEAMS)
                        .map(TeamShare::toString)
                        .collect(Collectors.joining(","));
        output.logDecision(
                DecisionLogEntry.of(
                        "capacity_short",
                        "pools",
                        aboveByPool.keySet().stream()
                                .map(ServiceName::value)
                                .collect(Collectors.joining(",")),
                        "above_share",
                        above.size(),
                        "largest",
                        largest.isEmpty() ? "none" : largest));
        Set<TeamName> named = new HashSet<>();
        above.forEach(share -> share.team().ifPresent(named::add));
        named.forEach(metrics::onTeamAboveShare);
        aboveByPool.clear();
    }
}
