package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.overload.Backlog;
import org.marjoramnotch.logic.overload.WorkId;
import org.marjoramnotch.logic.overload.WorkItem;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Measures the remaining work of all active workflows in one walk, whose cost is that of finding
 * the ready steps. Worthless work is served last, so that it is no backlog; late work is, since new
 * work that is served before it would make it worthless.
 */
final class RemainingWork {
    /** Thousandths of a processor in a processor. */
    private static final double PROCESSOR_MILLIS = 1_000;

    private final boolean preemption;
    private final boolean setsAside;
    private final WorkflowLedger ledger;
    private final LatencyObjectives objectives;
    private final FeasibilityCheck feasibilityCheck;
    private final Feasibility feasibility;
    private final RunTimeForecast forecast = new RunTimeForecast();
    private final Map<ServiceName, List<WorkItem>> items = new HashMap<>();
    private final Map<ServiceName, Map<Optional<TeamName>, Backlog>> poolBacklogs = new HashMap<>();
    private final Map<TeamName, Backlog> teamBacklogs = new HashMap<>();

    /** The sums over the steps of one occurrence. */
    private static final class Sums {
        double waiting;
        double demand;
        double running;
        boolean standing;
        long latestStart = WorkItem.UNDER_WAY;
    }

    RemainingWork(
            WorkflowLedger ledger,
            LatencyObjectives objectives,
            Feasibility feasibility,
            FeasibilityCheck feasibilityCheck,
            WorkflowSettings settings) {
        this.preemption = settings.preemption();
        this.setsAside = settings.setsAside();
        this.ledger = ledger;
        this.objectives = objectives;
        this.feasibility = feasibility;
        this.feasibilityCheck = feasibilityCheck;
    }

    /** Returns whether large work is served last if not all work can be in time. */
    boolean setsAside() {
        return setsAside;
    }

    /** Returns the expected run times, which learn from the ends of runs. */
    RunTimeForecast forecast() {
        return forecast;
    }

    /** Measures anew; infeasible workflows are left out, since they never take capacity. */
    void measure(long nowMilliseconds) {
        items.clear();
        poolBacklogs.clear();
        teamBacklogs.clear();
        for (WorkflowEntry entry : ledger.active()) {
            if (feasibilityCheck.isInfeasible(entry.id())) {
                continue;
            }
            objectives.forEachDue(
                    nowMilliseconds, entry, occurrence -> add(nowMilliseconds, entry, occurrence));
        }
    }

    /** Returns the work of each pool. */
    Map<ServiceName, List<WorkItem>> items() {
        return items;
    }

    Map<Optional<TeamName>, Backlog> backlogsOf(ServiceName pool) {
        return poolBacklogs.getOrDefault(pool, Map.of());
    }

    Optional<Backlog> backlogOf(TeamName team) {
        return Optional.ofNullable(teamBacklogs.get(team));
    }

    private void add(long nowMilliseconds, WorkflowEntry entry, int occurrence) {
        long start = objectives.dueAt(entry.workflow(), occurrence);
        ServiceName pool = poolOf(entry, occurrence);
        Optional<TeamName> team = entry.workflow().team();
        List<Backlog> backlogs = new ArrayList<>(2);
        backlogs.add(
                poolBacklogs
                        .computeIfAbsent(pool, name -> new HashMap<>())
                        .computeIfAbsent(team, name -> new Backlog()));
        team.ifPresent(
                name -> backlogs.add(teamBacklogs.computeIfAbsent(name, absent -> new Backlog())));
        long objective = objectives.objective(entry);
        Sums sums = sum(nowMilliseconds, entry, occurrence, start + objective, backlogs);
        int priority = entry.queue().priority();
        WorkItem item =
                WorkItem.builder(new WorkId(entry.id(), occurrence))
                        .team(team)
                        .priority(priority)
                        .latestStartMilliseconds(sums.latestStart)
                        .objectiveMilliseconds(objective)
                        .dueMilliseconds(start + objective)
                        .remainingProcessorMilliseconds(
                                (long) ((sums.waiting + sums.running) / PROCESSOR_MILLIS))
                        .standing(sums.standing)
                        .build();
        items.computeIfAbsent(pool, name -> new ArrayList<>()).add(item);
        if (sums.waiting > 0 && !item.isWorthless(nowMilliseconds)) {
            backlogs.forEach(backlog -> backlog.addWaiting(priority, sums.demand, sums.waiting));
        }
    }

    private Sums sum(
            long nowMilliseconds,
            WorkflowEntry entry,
            int occurrence,
            long dueAt,
            List<Backlog> backlogs) {
        Sums sums = new Sums();
        List<StepTasks> steps = entry.steps(occurrence);
        for (int step = 0; step < steps.size(); step++) {
            StepTasks tasks = steps.get(step);
            if (tasks.isDone()) {
                continue;
            }
            StepDefinition definition = tasks.definition();
            double processorMillis = definition.reserved().processorMillis();
            int running = entry.isReady(occurrence, step) ? tasks.countRunning() : 0;
            if (definition.standing()) {
                sums.standing = true;
                backlogs.forEach(backlog -> backlog.addStanding(running * processorMillis));
                continue;
            }
            int waiting = tasks.tasks().size() - tasks.doneCount() - running;
            double expected = forecast.expected(entry.queue(), definition);
            if (waiting > 0) {
                sums.demand += waiting * processorMillis;
                sums.waiting += waiting * processorMillis * expected;
                long latest = dueAt - objectives.criticalPathFrom(entry, step);
                sums.latestStart = Math.min(sums.latestStart, latest);
            }
            if (running > 0) {
                StepId id = new StepId(entry.id(), occurrence, step);
                double rest = forecast.rest(nowMilliseconds, id, expected);
                sums.running += running * processorMillis * rest;
                backlogs.forEach(
                        backlog -> backlog.addRunning(running * processorMillis, rest, expected));
                if (preemption && entry.queue().priority() > 0) {
                    backlogs.forEach(backlog -> backlog.addPreemptible(running * processorMillis));
                }
            }
        }
        return sums;
    }

    /** Returns the pool of the first step that is not done. */
    private ServiceName poolOf(WorkflowEntry entry, int occurrence) {
        return entry.formerPools().isEmpty()
                ? entry.queue().pool()
                : entry.steps(occurrence).stream()
                        .filter(step -> !step.isDone())
                        .findFirst()
                        .map(step -> feasibility.poolOf(entry, step.definition()))
                        .orElse(entry.queue().pool());
    }
}
