package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.fleet.AdviceTerms;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Places the tasks of ready steps on workers. */
final class RunScheduler {
    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;
    private final AdviceDesk advice;
    private final CapacityView capacity;
    private final ObjectiveClock objectives;
    private final WaitingOrder order;
    private final TaskPlacer placer;
    private final AdviceForesight foresight;

    RunScheduler(
            WorkflowLedger ledger,
            WorkerSessions sessions,
            AdviceDesk advice,
            ObjectiveClock objectives,
            SpeedBook speeds) {
        this.ledger = ledger;
        this.sessions = sessions;
        this.advice = advice;
        this.capacity = new CapacityView(ledger);
        this.objectives = objectives;
        this.order = new ObjectiveOrder();
        this.foresight = new AdviceForesight();
        this.placer =
                new TaskPlacer(
                        sessions, advice, capacity, new TightestFit(capacity, sessions, speeds));
    }

    /** Returns the ticket that a decided run was given, and forgets it. */
    Optional<String> takeTicket(RunId run) {
        return placer.takeTicket(run);
    }

    /** Follows the application of starts. */
    void onApplied(StartRuns command) {
        command.placements().forEach(placement -> capacity.settle(placement.run().task()));
    }

    /** Decides what starts now. */
    void schedule(long nowMilliseconds, LeaderOutput output) {
        placer.begin();
        Map<ServiceName, List<WorkerEntry>> usable = usableByPool(nowMilliseconds);
        List<RunPlacement> singles = new ArrayList<>();
        List<ReadyStep> soon = new ArrayList<>();
        for (ReadyStep step : readySteps(nowMilliseconds, soon)) {
            List<WorkerEntry> pool = usable.getOrDefault(step.workflow().queue().pool(), List.of());
            Optional<TeamDefinition> team = step.workflow().workflow().team().flatMap(ledger::team);
            List<RunPlacement> placed = place(nowMilliseconds, step, pool, team, output);
            if (step.tasks().definition().gang()) {
                propose(placed, output);
            } else {
                singles.addAll(placed);
            }
        }
        propose(singles, output);
        soon.forEach(step -> askAhead(nowMilliseconds, step, usable, output));
    }

    /**
     * Asks the advisor about a step whose turn is near, so that it need not wait for the answer.
     */
    private void askAhead(
            long nowMilliseconds,
            ReadyStep step,
            Map<ServiceName, List<WorkerEntry>> usable,
            LeaderOutput output) {
        QueueDefinition queue = step.workflow().queue();
        if (advice.tickets(step.id(), nowMilliseconds).isEmpty()) {
            List<WorkerEntry> pool = usable.getOrDefault(queue.pool(), List.of());
            queue.advice()
                    .ifPresent(terms -> askAdvice(nowMilliseconds, step, pool, terms, output));
        }
    }

    private static void propose(List<RunPlacement> placements, LeaderOutput output) {
        if (!placements.isEmpty()) {
            output.propose(new StartRuns(List.copyOf(placements)));
        }
    }

    private Map<ServiceName, List<WorkerEntry>> usableByPool(long nowMilliseconds) {
        return ledger.workers().stream()
                .filter(
                        entry ->
                                sessions.of(entry.worker().incarnation())
                                        .map(session -> session.isUsable(nowMilliseconds))
                                        .orElse(false))
                .collect(Collectors.groupingBy(entry -> entry.worker().pool()));
    }

    private List<ReadyStep> readySteps(long nowMilliseconds, List<ReadyStep> soon) {
        List<ReadyStep> ready = new ArrayList<>();
        for (WorkflowEntry entry : ledger.active()) {
            for (int occurrence = 0; occurrence < entry.occurrenceCount(); occurrence++) {
                long start = objectives.startOf(entry.workflow(), occurrence);
                boolean due = entry.workflow().recurrence().isEmpty() || nowMilliseconds >= start;
                if (due) {
                    addReadySteps(entry, occurrence, start, ready, soon);
                }
            }
        }
        ready.sort(order.at(nowMilliseconds));
        return ready;
    }

    private void addReadySteps(
            WorkflowEntry entry,
            int occurrence,
            long start,
            List<ReadyStep> ready,
            List<ReadyStep> soon) {
        List<StepTasks> steps = entry.steps(occurrence);
        for (int step = 0; step < steps.size(); step++) {
            StepTasks tasks = steps.get(step);
            StepId id = new StepId(entry.id(), occurrence, step);
            boolean waiting = hasWaiting(id, tasks);
            if (waiting && entry.isReady(occurrence, step)) {
                long objective = objectives.objective(entry);
                long dueAt = start + objective;
                long latest = dueAt - objectives.chainFrom(entry, step);
                ready.add(new ReadyStep(entry, id, tasks, dueAt, latest, objective));
            } else if (waiting && foresight.isSoonReady(entry, occurrence, step)) {
                soon.add(new ReadyStep(entry, id, tasks, start, start, 0));
            }
        }
    }

    private boolean hasWaiting(StepId id, StepTasks tasks) {
        for (int index = 0; index < tasks.tasks().size(); index++) {
            if (placer.isWaiting(tasks, new WorkflowTaskId(id, index))) {
                return true;
            }
        }
        return false;
    }

    private List<RunPlacement> place(
            long nowMilliseconds,
            ReadyStep step,
            List<WorkerEntry> pool,
            Optional<TeamDefinition> team,
            LeaderOutput output) {
        StepDefinition definition = step.tasks().definition();
        List<WorkerEntry> candidates =
                pool.stream()
                        .filter(worker -> hasLabel(worker, definition))
                        .filter(worker -> advice.mayRun(step.id(), worker.worker().id()))
                        .filter(worker -> capacity.fits(worker, definition))
                        .collect(Collectors.toList());
        if (candidates.isEmpty() || !capacity.isWithinLimit(team, definition.demand())) {
            return List.of();
        }
        Optional<AdviceTerms> terms = step.workflow().queue().advice();
        if (terms.isPresent()) {
            Map<WorkerId, String> valid = advice.tickets(step.id(), nowMilliseconds);
            candidates.removeIf(worker -> !valid.containsKey(worker.worker().id()));
            if (candidates.isEmpty()) {
                askAdvice(nowMilliseconds, step, pool, terms.get(), output);
                return List.of();
            }
        }
        return definition.gang()
                ? placer.placeGang(nowMilliseconds, step, candidates, team)
                : placer.placeSingles(nowMilliseconds, step, candidates, team);
    }

    private void askAdvice(
            long nowMilliseconds,
            ReadyStep step,
            List<WorkerEntry> pool,
            AdviceTerms terms,
            LeaderOutput output) {
        StepDefinition definition = step.tasks().definition();
        List<WorkerId> workers =
                pool.stream()
                        .filter(worker -> hasLabel(worker, definition))
                        .filter(worker -> worker.worker().capacity().holds(definition.reserved()))
                        .sorted(Comparator.comparingLong(capacity::freeProcessorMillis).reversed())
                        .map(worker -> worker.worker().id())
                        .toList();
        long urgency = step.latestStart();
        advice.ask(nowMilliseconds, step.id(), workers, terms, urgency, output);
    }

    private static boolean hasLabel(WorkerEntry worker, StepDefinition step) {
        return step.requiredLabel()
                .map(label -> worker.worker().labels().contains(label))
                .orElse(true);
    }
}
