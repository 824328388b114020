package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.logic.share.DominantShares;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Ranks steps of equal lateness and priority by how much of its weighted share their team has used
 * up, while capacity of their pool is short. The waiting work is counted in the order in which it
 * would be served otherwise, as if it were placed, so that teams alternate. Steps of a short pool
 * change places only among themselves; all others keep their place.
 */
final class WeightedShareRanking implements StepRanking {
    /**
     * A step of a short pool.
     *
     * @param place its place without this ranking
     * @param group number of the steps' lateness and priority in this order
     * @param portions portions of its share that its team has used up before it
     */
    private record Ranked(ReadyStep step, int place, int group, long portions) {}

    private final CapacityShares shares;
    private final Feasibility feasibility;
    private final List<StepRanking> within;
    private final TeamShareLog log;
    private final Map<ReadyStep, Long> ranks = new IdentityHashMap<>();

    /**
     * Creates a ranking.
     *
     * @param within the rankings that order steps of one team; they begin each round first
     */
    WeightedShareRanking(
            CapacityShares shares,
            Feasibility feasibility,
            List<StepRanking> within,
            TeamShareLog log) {
        this.shares = shares;
        this.feasibility = feasibility;
        this.within = List.copyOf(within);
        this.log = log;
    }

    @Override
    public void beginRound(long nowMilliseconds, List<ReadyStep> ready) {
        ranks.clear();
        Set<ServiceName> shortPools = shares.shortPools();
        if (shortPools.isEmpty()) {
            return;
        }
        List<ReadyStep> ordered = new ArrayList<>(ready);
        ordered.sort(LatencyStepOrdering.order(nowMilliseconds, within));
        Comparator<ReadyStep> groups = LatencyStepOrdering.groups(nowMilliseconds);
        Map<ServiceName, List<Ranked>> stepsByPool = new HashMap<>();
        int group = 0;
        for (int place = 0; place < ordered.size(); place++) {
            ReadyStep step = ordered.get(place);
            if (place > 0 && groups.compare(ordered.get(place - 1), step) != 0) {
                group++;
            }
            ranks.put(step, (long) place);
            ServiceName pool = feasibility.poolOf(step.workflow(), step.tasks().definition());
            if (shortPools.contains(pool)) {
                stepsByPool
                        .computeIfAbsent(pool, name -> new ArrayList<>())
                        .add(new Ranked(step, place, group, 0));
            }
        }
        Map<StepId, Integer> decided = shares.decidedTasks();
        stepsByPool.forEach((pool, steps) -> rankPool(pool, steps, decided));
    }

    @Override
    public long rank(ReadyStep step) {
        return ranks.getOrDefault(step, 0L);
    }

    private void rankPool(ServiceName pool, List<Ranked> steps, Map<StepId, Integer> decided) {
        DominantShares teams = shares.sharesOf(pool);
        List<Resources> demands = new ArrayList<>();
        for (Ranked ranked : steps) {
            Resources demand = waitingDemand(pool, ranked.step(), decided);
            demands.add(demand);
            teams.addWaiting(teamOf(ranked.step()), demand);
        }
        double entitled = teams.entitledShare();
        log.onShortRound(pool, teams, entitled);
        List<Ranked> sorted = new ArrayList<>();
        for (int index = 0; index < steps.size(); index++) {
            Ranked ranked = steps.get(index);
            Optional<TeamName> team = teamOf(ranked.step());
            long portions = DominantShares.portions(teams.shareOf(team), entitled);
            sorted.add(new Ranked(ranked.step(), ranked.place(), ranked.group(), portions));
            teams.place(team, demands.get(index));
        }
        sorted.sort(
                Comparator.comparingInt(Ranked::group)
                        .thenComparingLong(Ranked::portions)
                        .thenComparingInt(Ranked::place));
        for (int index = 0; index < steps.size(); index++) {
            ranks.put(sorted.get(index).step(), (long) steps.get(index).place());
        }
    }

    /** Returns the demand of the tasks that wait; of none if no worker is large enough for one. */
    private Resources waitingDemand(
            ServiceName pool, ReadyStep step, Map<StepId, Integer> decided) {
        StepDefinition definition = step.tasks().definition();
        if (!shares.isPossible(pool, definition)) {
            return Resources.NONE;
        }
        int waiting = -decided.getOrDefault(step.id(), 0);
        for (TaskState task : step.tasks().tasks()) {
            waiting += task.isWaiting() ? 1 : 0;
        }
        return definition.reserved().times(Math.max(0, waiting));
    }

    private static Optional<TeamName> teamOf(ReadyStep step) {
        return step.workflow().workflow().team();
    }
}
