package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * Selects the workers named in questions about a step. Each worker delays the answer, so a question
 * names only as many as the waiting tasks are likely to need. Different steps name different
 * workers so that they don't compete for the same ones. Steps with a tight objective name fast
 * workers first, since a ticket for a slow one would make them late.
 */
final class AdviceWorkerSelector {
    /**
     * Expected number of tasks of a step that a full worker frees capacity for while a ticket is
     * valid.
     */
    private static final double EXPECTED_FREED_TASKS = 0.2;

    /**
     * Width of a class of speeds. Wider than the error of an estimate after a few runs, so that
     * steps still spread over all fast workers.
     */
    private static final double SPEED_CLASS = 0.3;

    private final AdviceBroker advice;
    private final CapacityView capacity;

    AdviceWorkerSelector(AdviceBroker advice, CapacityView capacity) {
        this.advice = advice;
        this.capacity = capacity;
    }

    /** A worker that the advisor may grant, with the number of tasks of the step that fit on it. */
    private record Candidate(
            WorkerCapacity worker, int fittingTasks, boolean fitsSeveral, boolean granted) {
        WorkerId id() {
            return worker.id();
        }
    }

    /**
     * Returns the workers to name in questions about a step.
     *
     * @param waiting number of tasks that have not started
     */
    List<WorkerId> workersToName(
            long nowMilliseconds, ReadyStep step, PoolCapacity pool, int waiting) {
        QueueDefinition queue = step.workflow().queue();
        AdviceTiming timing = queue.advice().orElseThrow();
        int minimum = timing.workersPerShortQuestion();
        // Tickets that expire before an answer could replace them are requested again.
        long answeredAt = nowMilliseconds + (long) timing.decisionMilliseconds();
        StepDefinition definition = step.tasks().definition();
        List<Candidate> free = new ArrayList<>();
        List<Candidate> full = new ArrayList<>();
        Resources reserved = definition.reserved();
        SpreadLimit spread = new SpreadLimit(step, capacity);
        Predicate<WorkerId> eligible = advice.eligible(step.id());
        int missing = waiting;
        double expectedOnFull = 0;
        for (WorkerCapacity worker : pool.mostFreeFirst()) {
            WorkerId id = worker.id();
            int remaining = spread.remaining(id);
            if (remaining == 0
                    || !worker.hasLabelFor(definition)
                    || !eligible.test(id)
                    || !worker.entry().worker().capacity().holds(reserved)) {
                continue;
            }
            int fitting = worker.tasksThatFit(reserved, Math.max(waiting, 2));
            int taskCount = Math.min(Math.min(remaining, waiting), fitting);
            if (advice.ticket(step.id(), id, answeredAt).isPresent()) {
                missing -= taskCount;
                expectedOnFull += taskCount == 0 ? EXPECTED_FREED_TASKS : 0;
            } else {
                boolean granted = advice.wasGranted(step.id(), id);
                (taskCount > 0 ? free : full)
                        .add(new Candidate(worker, taskCount, fitting > 1, granted));
            }
        }
        List<WorkerId> selected = new ArrayList<>();
        double grantRate = advice.grantRate(queue.name());
        double found = addCandidates(step, free, missing, minimum, grantRate, selected);
        // Capacity freed on a full worker goes to a step that already has a ticket for it.
        addCandidates(step, full, missing - found - expectedOnFull, 0, grantRate, selected);
        return selected;
    }

    /**
     * Adds candidates until they are likely to take the tasks; returns the expected number of tasks
     * that they take.
     */
    private double addCandidates(
            ReadyStep step,
            List<Candidate> candidates,
            double tasks,
            int minimum,
            double grantRate,
            List<WorkerId> selected) {
        if (tasks <= 0) {
            return 0;
        }
        candidates.sort(byPreference(step));
        double mean = 0;
        double variance = 0;
        int count = 0;
        for (Candidate candidate : candidates) {
            boolean enough = mean - Math.sqrt(variance) >= tasks;
            if (enough && count >= minimum) {
                break;
            }
            double chance = candidate.granted() ? 1 : grantRate;
            double taskCount = Math.max(EXPECTED_FREED_TASKS, candidate.fittingTasks());
            mean += chance * taskCount;
            variance += chance * (1 - chance) * taskCount * taskCount;
            count++;
            selected.add(candidate.id());
        }
        return mean;
    }

    private static Comparator<Candidate> byPreference(ReadyStep step) {
        Optional<String> dataRack = step.tasks().definition().dataRack();
        boolean tight = step.hasTightObjective();
        return Comparator.comparing((Candidate candidate) -> !candidate.granted())
                .thenComparing(
                        candidate ->
                                dataRack.isPresent()
                                        && !candidate
                                                .worker()
                                                .entry()
                                                .worker()
                                                .labels()
                                                .contains(dataRack.get()))
                // The last free capacity of a worker is often taken before the answer arrives.
                .thenComparing(candidate -> !candidate.fitsSeveral())
                .thenComparingLong(candidate -> tight ? speedClass(candidate) : 0)
                .thenComparingInt(candidate -> spreadHash(step, candidate.id()))
                .thenComparing(candidate -> candidate.id().value());
    }

    private static long speedClass(Candidate candidate) {
        return Math.round(candidate.worker().slowness() / SPEED_CLASS);
    }

    /** Returns a hash by which each step orders workers differently. */
    private static int spreadHash(ReadyStep step, WorkerId worker) {
        long mixed = (31L * step.id().hashCode() + worker.hashCode()) * 0x9E37_79B9_7F4A_7C15L;
        return (int) (mixed >>> 32);
    }
}
