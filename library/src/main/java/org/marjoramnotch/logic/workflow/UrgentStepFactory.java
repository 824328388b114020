package org.marjoramnotch.logic.workflow;

import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.marjoramnotch.logic.preemption.PoolState;
import org.marjoramnotch.logic.preemption.ReservedCapacity;
import org.marjoramnotch.logic.preemption.UrgentStep;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.StepDefinition;

/** Describes waiting steps for the planner of preemptions. */
final class UrgentStepFactory {
    /** Bounds the time of a round; further tasks of a step are considered in the next rounds. */
    private static final int MAXIMUM_TASKS = 64;

    /** Estimated run time of tasks without an estimate, as for latency objectives. */
    private static final long UNKNOWN_ESTIMATE_MILLISECONDS = 500;

    private final WorkflowLedger ledger;
    private final AdviceBroker advice;
    private final ReservedCapacity reserved;

    UrgentStepFactory(WorkflowLedger ledger, AdviceBroker advice, ReservedCapacity reserved) {
        this.ledger = ledger;
        this.advice = advice;
        this.reserved = reserved;
    }

    /**
     * Returns a step with its waiting tasks for which there is no room; empty if there is none, or
     * if the step needs a ticket and has none.
     *
     * @param waiting how many of its tasks wait
     */
    Optional<UrgentStep> create(
            PoolState state,
            ReadyStep step,
            int waiting,
            PoolCapacity pool,
            CapacityView capacity) {
        int tasks = tasksWithoutRoom(step, waiting, pool, capacity);
        boolean advised = step.workflow().queue().advice().isPresent();
        Map<WorkerId, String> tickets =
                advised ? advice.tickets(step.id(), state.startMilliseconds()) : Map.of();
        if (tasks <= 0 || (advised && tickets.isEmpty())) {
            return Optional.empty();
        }
        Predicate<WorkerId> eligible = advised ? tickets::containsKey : advice.eligible(step.id());
        StepDefinition definition = step.tasks().definition();
        long estimate = definition.estimateMilliseconds();
        return Optional.of(
                new UrgentStep(
                        step.id(),
                        tasks,
                        definition.gang(),
                        definition.reserved(),
                        step.latestStart(),
                        estimate > 0 ? estimate : UNKNOWN_ESTIMATE_MILLISECONDS,
                        places(step, eligible, capacity)));
    }

    private ToIntFunction<WorkerIncarnation> places(
            ReadyStep step, Predicate<WorkerId> eligible, CapacityView capacity) {
        SpreadLimit spread = new SpreadLimit(step, capacity);
        Optional<String> label = step.tasks().definition().requiredLabel();
        return worker -> {
            boolean labelled =
                    label.isEmpty()
                            || ledger.worker(worker)
                                    .map(entry -> entry.worker().labels().contains(label.get()))
                                    .orElse(false);
            return labelled && eligible.test(worker.worker())
                    ? spread.remaining(worker.worker())
                    : 0;
        };
    }

    /**
     * Counts the waiting tasks for which no capacity is reserved and none is free, not even on a
     * worker for which the step has no ticket yet, as far as the limit of the team goes.
     */
    private int tasksWithoutRoom(
            ReadyStep step, int waiting, PoolCapacity pool, CapacityView capacity) {
        StepDefinition definition = step.tasks().definition();
        int kept = reserved.count(step.id());
        int needed = waiting - kept;
        SpreadLimit spread = new SpreadLimit(step, capacity);
        int free = 0;
        for (WorkerCapacity worker : pool.mostFreeFirst()) {
            if (free >= needed
                    || worker.freeProcessorMillis() < definition.reserved().processorMillis()) {
                break;
            }
            if (worker.hasLabelFor(definition) && advice.eligible(step.id()).test(worker.id())) {
                int places = Math.min(needed, spread.remaining(worker.id()));
                free += worker.tasksThatFit(definition.reserved(), places);
            }
        }
        if (definition.gang()) {
            boolean waits = kept == 0 && free < needed && needed == step.tasks().tasks().size();
            return waits && isWithinLimit(step, needed, capacity) ? needed : 0;
        }
        int tasks = Math.min(MAXIMUM_TASKS, needed - free);
        while (tasks > 0 && !isWithinLimit(step, kept + free + tasks, capacity)) {
            tasks--;
        }
        return tasks;
    }

    private boolean isWithinLimit(ReadyStep step, int tasks, CapacityView capacity) {
        return capacity.isWithinLimit(
                step.workflow().workflow().team().flatMap(ledger::team),
                step.tasks().definition().demand().times(tasks));
    }
}
