package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * Finds the workers that can take tasks of a step now, and selects workers to ask the placement
 * advisor about.
 */
final class CandidateSearch {
    private final AdviceBroker advice;
    private final CapacityView capacity;
    private final AdviceWorkerSelector workerSelector;
    private long examined;

    CandidateSearch(AdviceBroker advice, CapacityView capacity) {
        this.advice = advice;
        this.capacity = capacity;
        this.workerSelector = new AdviceWorkerSelector(advice, capacity);
    }

    /** Returns how many workers were examined so far, counting a worker once for each step. */
    long examinedWorkers() {
        return examined;
    }

    /**
     * Returns the workers that can take a task of a step; only those with a valid ticket if the
     * step needs advice.
     */
    List<WorkerCapacity> findCandidates(
            long nowMilliseconds,
            ReadyStep step,
            PoolCapacity pool,
            Optional<TeamDefinition> team) {
        if (!isWithinLimit(step, team)) {
            return List.of();
        }
        if (step.workflow().queue().advice().isEmpty()) {
            return findFitting(step, pool, advice.eligible(step.id()));
        }
        Map<WorkerId, String> tickets = advice.tickets(step.id(), nowMilliseconds);
        return tickets.isEmpty() ? List.of() : findFitting(step, pool, tickets::containsKey);
    }

    boolean isWithinLimit(ReadyStep step, Optional<TeamDefinition> team) {
        return capacity.isWithinLimit(team, step.tasks().definition().demand());
    }

    /**
     * Enqueues questions to the advisor about workers for the waiting tasks without tickets.
     *
     * @param waiting number of tasks that have not started
     * @param urgency rank of the step; questions with lower values are sent first
     */
    void enqueueQuestions(
            long nowMilliseconds,
            ReadyStep step,
            PoolCapacity pool,
            int waiting,
            long urgency,
            LeaderOutput output) {
        examined += pool.size();
        List<WorkerId> workers = workerSelector.workersToName(nowMilliseconds, step, pool, waiting);
        if (workers.isEmpty()) {
            advice.deferQuestions(step.id(), nowMilliseconds);
        } else {
            QueueDefinition queue = step.workflow().queue();
            advice.enqueueQuestions(nowMilliseconds, step.id(), workers, queue, urgency, output);
        }
    }

    private List<WorkerCapacity> findFitting(
            ReadyStep step, PoolCapacity pool, Predicate<WorkerId> eligible) {
        StepDefinition definition = step.tasks().definition();
        Resources reserved = definition.reserved();
        List<WorkerCapacity> fitting = new ArrayList<>();
        for (WorkerCapacity worker : pool.mostFreeFirst()) {
            examined++;
            if (worker.freeProcessorMillis() < reserved.processorMillis()) {
                break;
            }
            if (worker.holds(reserved)
                    && worker.hasLabelFor(definition)
                    && eligible.test(worker.id())) {
                fitting.add(worker);
            }
        }
        return fitting;
    }
}
