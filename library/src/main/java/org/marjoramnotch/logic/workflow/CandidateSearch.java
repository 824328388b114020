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

/** Finds the workers that may take tasks of a step now, and asks the advisor where that is due. */
final class CandidateSearch {
    private final AdviceBroker advice;
    private final CapacityView capacity;
    private final AdviceWorkerSelector scope;
    private long examined;

    CandidateSearch(AdviceBroker advice, CapacityView capacity) {
        this.advice = advice;
        this.capacity = capacity;
        this.scope = new AdviceWorkerSelector(advice, capacity);
    }

    /** Returns how many workers were looked at so far, a worker once for each step. */
    long examinedWorkers() {
        return examined;
    }

    /** Returns the workers for a step, those with tickets if it needs advice. */
    List<WorkerCapacity> findCandidates(
            long nowMilliseconds,
            ReadyStep step,
            PoolCapacity pool,
            Optional<TeamDefinition> team) {
        if (!isWithinLimit(step, team)) {
            return List.of();
        }
        if (step.workflow().queue().advice().isEmpty()) {
            return fitting(step, pool, advice.eligible(step.id()));
        }
        Map<WorkerId, String> tickets = advice.tickets(step.id(), nowMilliseconds);
        return tickets.isEmpty() ? List.of() : fitting(step, pool, tickets::containsKey);
    }

    boolean isWithinLimit(ReadyStep step, Optional<TeamDefinition> team) {
        return capacity.isWithinLimit(team, step.tasks().definition().demand());
    }

    /**
     * Asks the advisor about workers for the tasks that no ticket is left for.
     *
     * @param waiting tasks that have not started
     * @param urgency lower is asked first
     */
    void enqueueQuestions(
            long nowMilliseconds,
            ReadyStep step,
            PoolCapacity pool,
            int waiting,
            long urgency,
            LeaderOutput output) {
        examined += pool.size();
        List<WorkerId> workers = scope.workersToName(nowMilliseconds, step, pool, waiting);
        if (workers.isEmpty()) {
            advice.deferQuestions(step.id(), nowMilliseconds);
        } else {
            QueueDefinition queue = step.workflow().queue();
            advice.enqueueQuestions(nowMilliseconds, step.id(), workers, queue, urgency, output);
        }
    }

    private List<WorkerCapacity> fitting(
            ReadyStep step, PoolCapacity pool, Predicate<WorkerId> eligible) {
        StepDefinition definition = step.tasks().definition();
        Resources reserved = definition.reserved();
        List<WorkerCapacity> fitting = new ArrayList<>();
        for (WorkerCapacity room : pool.mostFreeFirst()) {
            examined++;
            if (room.freeProcessorMillis() < reserved.processorMillis()) {
                break;
            }
            if (room.holds(reserved) && room.hasLabelFor(definition) && eligible.test(room.id())) {
                fitting.add(room);
            }
        }
        return fitting;
    }
}
