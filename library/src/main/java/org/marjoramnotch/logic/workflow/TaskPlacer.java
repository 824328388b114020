package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Finds workers for the tasks of one step. */
final class TaskPlacer {
    private final WorkerSessions sessions;
    private final AdviceBroker advice;
    private final CapacityView capacity;
    private final Map<RunId, String> tickets = new HashMap<>();
    private Set<WorkflowTaskId> blockedTasks = Set.of();

    TaskPlacer(WorkerSessions sessions, AdviceBroker advice, CapacityView capacity) {
        this.sessions = sessions;
        this.advice = advice;
        this.capacity = capacity;
    }

    /** Begins a round of decisions. */
    void beginRound() {
        blockedTasks = sessions.blockedTasks();
    }

    /** Returns the ticket that a decided run was given, and forgets it. */
    Optional<String> takeTicket(RunId run) {
        return Optional.ofNullable(tickets.remove(run));
    }

    /** Tells whether a task waits and no start of it is decided. */
    boolean isWaiting(StepTasks tasks, WorkflowTaskId task) {
        return tasks.tasks().get(task.index()).isWaiting() && !capacity.isDecided(task);
    }

    /** Counts the tasks of a step that could start now. */
    int countWaiting(ReadyStep step) {
        int waiting = 0;
        for (int index = 0; index < step.tasks().tasks().size(); index++) {
            WorkflowTaskId task = new WorkflowTaskId(step.id(), index);
            if (isWaiting(step.tasks(), task) && !blockedTasks.contains(task)) {
                waiting++;
            }
        }
        return waiting;
    }

    /** Places each task that finds a worker. */
    List<RunPlacement> placeSingles(long nowMilliseconds, StepCandidates candidates) {
        ReadyStep step = candidates.step();
        SpreadLimit spread = new SpreadLimit(step, capacity);
        List<RunPlacement> placements = new ArrayList<>();
        List<TaskState> tasks = step.tasks().tasks();
        for (int index = 0; index < tasks.size(); index++) {
            WorkflowTaskId task = new WorkflowTaskId(step.id(), index);
            if (!isWaiting(step.tasks(), task) || blockedTasks.contains(task)) {
                continue;
            }
            Optional<WorkerCapacity> worker = choose(task, candidates, spread);
            if (worker.isEmpty()) {
                break;
            }
            long number = tasks.get(index).run() + 1;
            spread.add(worker.get().id());
            placements.add(decide(nowMilliseconds, candidates, task, number, worker.get()));
        }
        return placements;
    }

    /** Places all members of a gang or none, on one rack if that has room and matters. */
    List<RunPlacement> placeGang(long nowMilliseconds, StepCandidates candidates) {
        if (candidates.step().tasks().definition().sameRack()) {
            Map<String, List<WorkerCapacity>> racks =
                    candidates.workers().stream()
                            .sorted(Comparator.comparingInt(WorkerCapacity::position))
                            .collect(Collectors.groupingBy(TaskPlacer::rackOf));
            for (List<WorkerCapacity> rack : racks.values()) {
                List<RunPlacement> placed = tryGang(nowMilliseconds, candidates.withWorkers(rack));
                if (!placed.isEmpty()) {
                    return placed;
                }
            }
        }
        return tryGang(nowMilliseconds, candidates);
    }

    private static String rackOf(WorkerCapacity worker) {
        List<String> labels = worker.entry().worker().labels();
        return labels.isEmpty() ? "" : labels.get(labels.size() - 1);
    }

    private List<RunPlacement> tryGang(long nowMilliseconds, StepCandidates candidates) {
        ReadyStep step = candidates.step();
        SpreadLimit spread = new SpreadLimit(step, capacity);
        List<TaskState> tasks = step.tasks().tasks();
        long number = tasks.stream().mapToLong(TaskState::run).max().orElse(0) + 1;
        List<RunPlacement> placements = new ArrayList<>();
        List<WorkerCapacity> taken = new ArrayList<>();
        for (int index = 0; index < tasks.size(); index++) {
            WorkflowTaskId task = new WorkflowTaskId(step.id(), index);
            boolean free = isWaiting(step.tasks(), task) && !blockedTasks.contains(task);
            Optional<WorkerCapacity> worker =
                    free ? choose(task, candidates, spread) : Optional.empty();
            if (worker.isEmpty()) {
                rollBack(candidates, placements, taken);
                return List.of();
            }
            taken.add(worker.get());
            spread.add(worker.get().id());
            placements.add(decide(nowMilliseconds, candidates, task, number, worker.get()));
        }
        String checkpoint = tasks.isEmpty() ? "" : tasks.get(0).checkpoint();
        return placements.stream()
                .map(placement -> new RunPlacement(placement.run(), placement.worker(), checkpoint))
                .toList();
    }

    private void rollBack(
            StepCandidates candidates, List<RunPlacement> placements, List<WorkerCapacity> taken) {
        Resources reserved = candidates.step().tasks().definition().reserved();
        taken.forEach(worker -> candidates.pool().release(worker, reserved));
        for (RunPlacement placement : placements) {
            capacity.removeDecidedStart(placement.run().task());
            tickets.remove(placement.run());
        }
    }

    private Optional<WorkerCapacity> choose(
            WorkflowTaskId task, StepCandidates candidates, SpreadLimit spread) {
        StepTasks step = candidates.step().tasks();
        if (!capacity.isWithinLimit(candidates.team(), step.definition().demand())) {
            return Optional.empty();
        }
        TaskState state = step.tasks().get(task.index());
        WorkerId last = state.failures() > 0 ? state.worker().orElse(null) : null;
        Resources reserved = step.definition().reserved();
        WorkerCapacity best = null;
        for (WorkerCapacity worker : candidates.workers()) {
            if (worker.holds(reserved)
                    && spread.allows(worker.id())
                    && (best == null || isBetter(worker, best, last, candidates.preference()))) {
                best = worker;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Prefers workers other than the one on which the task has failed. */
    private static boolean isBetter(
            WorkerCapacity worker,
            WorkerCapacity best,
            @Nullable WorkerId last,
            Comparator<WorkerCapacity> preference) {
        if (last != null && worker.id().equals(last) != best.id().equals(last)) {
            return best.id().equals(last);
        }
        return preference.compare(worker, best) < 0;
    }

    private RunPlacement decide(
            long nowMilliseconds,
            StepCandidates candidates,
            WorkflowTaskId task,
            long number,
            WorkerCapacity worker) {
        ReadyStep step = candidates.step();
        StepDefinition definition = step.tasks().definition();
        RunId run = new RunId(task, number);
        Optional<TeamName> team = step.workflow().workflow().team();
        capacity.addDecidedStart(task, worker.id(), definition, team);
        candidates.pool().reserve(worker, definition.reserved());
        advice.ticket(step.id(), worker.id(), nowMilliseconds)
                .ifPresent(ticket -> tickets.put(run, ticket));
        String checkpoint = step.tasks().tasks().get(task.index()).checkpoint();
        return new RunPlacement(run, worker.entry().worker().incarnation(), checkpoint);
    }
}
