package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.admission.LoadSnapshot;
import org.marjoramnotch.logic.admission.PoolLoad;
import org.marjoramnotch.logic.admission.TeamLoad;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.overload.Backlog;
import org.marjoramnotch.logic.overload.ServicePlan;
import org.marjoramnotch.logic.overload.WorkId;
import org.marjoramnotch.logic.overload.WorkItem;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Ranks steps of work that the {@link ServicePlan} sets aside after the others: first by the plan
 * of each team at the rate of its limit, then by that of the pool for the work that is left.
 */
final class ServicePlanRanking implements StepRanking {
    /** A tenth of the slack of short work (300 ms and half its run time), to bound the cost. */
    private static final long PLAN_INTERVAL_MILLISECONDS = 50;

    /** Bounds the log of a burst; each line tells how many were left out. */
    private static final int MOST_LINES = 20;

    private static final double PROCESSOR_MILLIS = 1_000;

    private final LoadMeter load;
    private Map<WorkId, WorkItem> setAside = new HashMap<>();
    private final Map<WorkId, WorkItem> unlogged = new LinkedHashMap<>();
    private long nextPlanAt = Long.MIN_VALUE;

    ServicePlanRanking(LoadMeter load) {
        this.load = load;
    }

    @Override
    public void beginRound(long nowMilliseconds, List<ReadyStep> ready) {
        if (!load.setsAside() || nowMilliseconds < nextPlanAt) {
            return;
        }
        nextPlanAt = nowMilliseconds + PLAN_INTERVAL_MILLISECONDS;
        Map<WorkId, WorkItem> before = setAside;
        setAside = new HashMap<>();
        if (ready.size() > 1) {
            load.items().forEach((pool, items) -> plan(nowMilliseconds, pool, items));
        }
        setAside.forEach(
                (id, item) -> {
                    if (!before.containsKey(id)) {
                        unlogged.put(id, item);
                    }
                });
    }

    @Override
    public long rank(ReadyStep step) {
        WorkId id = new WorkId(step.id().workflow(), step.id().occurrence());
        return setAside.containsKey(id) ? 1 : 0;
    }

    /** Logs work that was set aside since the last call; to be called about once a second. */
    void logSetAside(long nowMilliseconds, LeaderOutput output) {
        int leftOut = Math.max(0, unlogged.size() - MOST_LINES);
        for (WorkItem item : unlogged.values().stream().limit(MOST_LINES).toList()) {
            output.logDecision(
                    DecisionLogEntry.of(
                            "work_set_aside",
                            "workflow",
                            item.id().workflow(),
                            "occurrence",
                            item.id().occurrence(),
                            "team",
                            item.team().map(TeamName::value).orElse("none"),
                            "priority",
                            item.priority(),
                            "remaining_core_ms",
                            item.remainingProcessorMilliseconds(),
                            "due_in_ms",
                            item.dueMilliseconds() - nowMilliseconds,
                            "left_out",
                            leftOut,
                            "reason",
                            "capacity"));
        }
        unlogged.clear();
    }

    private void plan(long nowMilliseconds, ServiceName poolName, List<WorkItem> items) {
        LoadSnapshot snapshot = load.snapshot();
        PoolLoad pool = snapshot.pools().get(poolName);
        if (pool == null) {
            return;
        }
        Map<Optional<TeamName>, List<WorkItem>> byTeam = new HashMap<>();
        items.forEach(
                item -> byTeam.computeIfAbsent(item.team(), team -> new ArrayList<>()).add(item));
        byTeam.forEach(
                (name, teamItems) -> {
                    TeamLoad team = name.map(snapshot.teams()::get).orElse(null);
                    if (team != null && team.limitProcessorMillis() > 0) {
                        double half = team.backlog().map(Backlog::runningHalf).orElse(0.0);
                        addExcess(nowMilliseconds, teamItems, team.rate(), half);
                    }
                });
        List<WorkItem> others =
                items.stream().filter(item -> !setAside.containsKey(item.id())).toList();
        double half = pool.backlogs().values().stream().mapToDouble(Backlog::runningHalf).sum();
        addExcess(nowMilliseconds, others, pool.rate(), half);
    }

    /**
     * Adds the items that a plan sets aside.
     *
     * @param rate thousandths of a processor that are freed
     * @param runningHalf half of the core time of the running tasks
     */
    private void addExcess(
            long nowMilliseconds, List<WorkItem> items, double rate, double runningHalf) {
        double cores = rate / PROCESSOR_MILLIS;
        double lead = runningHalf / rate;
        if (rate <= 0 || isAllInTime(nowMilliseconds - lead, items, cores)) {
            return;
        }
        Map<WorkId, ServicePlan.Reason> found =
                ServicePlan.of(nowMilliseconds, items, cores, lead).setAside();
        for (WorkItem item : items) {
            if (found.get(item.id()) == ServicePlan.Reason.CAPACITY) {
                setAside.put(item.id(), item);
            }
        }
    }

    /** Returns whether all work can be done before any of it must start, as without a burst. */
    private static boolean isAllInTime(
            double startMilliseconds, List<WorkItem> items, double cores) {
        double work = 0;
        long latestStart = Long.MAX_VALUE;
        for (WorkItem item : items) {
            work += item.remainingProcessorMilliseconds();
            if (!item.standing() && !item.isLate((long) startMilliseconds)) {
                latestStart = Math.min(latestStart, item.latestStartMilliseconds());
            }
        }
        return startMilliseconds + work / cores <= latestStart;
    }
}
