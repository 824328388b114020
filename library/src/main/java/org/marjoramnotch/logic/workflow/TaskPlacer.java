package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Chooses workers for the tasks of a step. */
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

    /** Begins a scheduling round. */
    void beginRound() {
        blockedTasks = sessions.blockedTasks();
    }

    /** Removes and returns the ticket of a decided run. */
    Optional<String> takeTicket(RunId run) {
        return Optional.ofNullable(tickets.remove(run));
    }

    /** Returns whether a task is waiting and its start is not decided yet. */
    boolean isWaiting(StepTasks tasks, WorkflowTaskId task) {
        return tasks.tasks().get(task.index()).isWaiting() && !capacity.isDecided(task);
    }

    /** Returns the first waiting task of a step. */
    Optional<WorkflowTaskId> firstWaiting(ReadyStep step) {
        return IntStream.range(0, step.tasks().tasks().size())
                .mapToObj(index -> new WorkflowTaskId(step.id(), index))
                .filter(task -> isWaiting(step.tasks(), task))
                .findFirst();
    }

    /** Returns whether a run of a task may exist on some worker. */
    boolean isBlocked(WorkflowTaskId task) {
        return blockedTasks.contains(task);
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

    /** Places the waiting tasks until no worker can take the next one. */
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
            Optional<WorkerCapacity> worker = chooseWorker(task, candidates, spread);
            if (worker.isEmpty()) {
                break;
            }
            long number = tasks.get(index).run() + 1;
            spread.add(worker.get().id());
            placements.add(addDecidedRun(nowMilliseconds, candidates, task, number, worker.get()));
        }
        return placements;
    }

    /**
     * Places all members of a gang or none; on a single rack if the step asks for it and a rack has
     * the capacity.
     */
    List<RunPlacement> placeGang(long nowMilliseconds, StepCandidates candidates) {
        if (candidates.step().tasks().definition().sameRack()) {
            Map<String, List<WorkerCapacity>> racks =
                    candidates.workers().stream()
                            .sorted(Comparator.comparingInt(WorkerCapacity::position))
                            .collect(Collectors.groupingBy(TaskPlacer::rackOf));
            for (List<WorkerCapacity> rack : racks.values()) {
                List<RunPlacement> placed =
                        tryPlaceGang(nowMilliseconds, candidates.withWorkers(rack));
                if (!placed.isEmpty()) {
                    return placed;
                }
            }
        }
        return tryPlaceGang(nowMilliseconds, candidates);
    }

    private static String rackOf(WorkerCapacity worker) {
        List<String> labels = worker.entry().worker().labels();
        return labels.isEmpty() ? "" : labels.get(labels.size() - 1);
    }

    private List<RunPlacement> tryPlaceGang(long nowMilliseconds, StepCandidates candidates) {
        ReadyStep step = candidates.step();
        SpreadLimit spread = new SpreadLimit(step, capacity);
        List<TaskState> tasks = step.tasks().tasks();
        long number = tasks.stream().mapToLong(TaskState::run).max().orElse(0) + 1;
        List<RunPlacement> placements = new ArrayList<>();
        List<WorkerCapacity> taken = new ArrayList<>();
        for (int index = 0; index < tasks.size(); index++) {
            WorkflowTaskId task = new WorkflowTaskId(step.id(), index);
            boolean canStart = isWaiting(step.tasks(), task) && !blockedTasks.contains(task);
            Optional<WorkerCapacity> worker =
                    canStart ? chooseWorker(task, candidates, spread) : Optional.empty();
            if (worker.isEmpty()) {
                rollBack(candidates, placements, taken);
                return List.of();
            }
            taken.add(worker.get());
            spread.add(worker.get().id());
            placements.add(addDecidedRun(nowMilliseconds, candidates, task, number, worker.get()));
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

    private Optional<WorkerCapacity> chooseWorker(
            WorkflowTaskId task, StepCandidates candidates, SpreadLimit spread) {
        StepTasks step = candidates.step().tasks();
        if (!capacity.isWithinLimit(candidates.team(), step.definition().demand())) {
            return Optional.empty();
        }
        TaskState state = step.tasks().get(task.index());
        WorkerId lastWorker = state.worker().orElse(null);
        Resources reserved = step.definition().reserved();
        WorkerCapacity best = null;
        for (WorkerCapacity worker : candidates.workers()) {
            if (worker.holds(reserved)
                    && spread.allows(worker.id())
                    && (best == null
                            || isBetter(worker, best, lastWorker, candidates.preference()))) {
                best = worker;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether a worker is a better choice. A task that has run before, or failed to start,
     * prefers workers other than that of its last run.
     */
    private static boolean isBetter(
            WorkerCapacity worker,
            WorkerCapacity best,
            @Nullable WorkerId lastWorker,
            Comparator<WorkerCapacity> preference) {
        if (lastWorker != null && worker.id().equals(lastWorker) != best.id().equals(lastWorker)) {
            return best.id().equals(lastWorker);
        }
        return preference.compare(worker, best) < 0;
    }

    private RunPlacement addDecidedRun(
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
