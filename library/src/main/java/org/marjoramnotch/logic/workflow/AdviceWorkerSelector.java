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
 * Chooses which workers a question about a step names. Each worker makes the answer later, so a
 * question names as many as the waiting tasks are likely to need, and different steps name
 * different workers, so that they don't meet on the same ones.
 */
final class AdviceWorkerSelector {
    /** Tasks of a step that a full worker is likely to have room for while a ticket holds. */
    private static final double EXPECTED_FREED_TASKS = 0.2;

    private final AdviceBroker desk;
    private final CapacityView capacity;

    AdviceWorkerSelector(AdviceBroker desk, CapacityView capacity) {
        this.desk = desk;
        this.capacity = capacity;
    }

    /** A worker that the advisor may grant, with the tasks of the step that it has room for. */
    private record Candidate(WorkerCapacity worker, int room, boolean roomy, boolean granted) {
        WorkerId id() {
            return worker.id();
        }
    }

    /**
     * Returns the workers to name.
     *
     * @param waiting tasks that have not started
     */
    List<WorkerId> workersToName(
            long nowMilliseconds, ReadyStep step, PoolCapacity pool, int waiting) {
        QueueDefinition queue = step.workflow().queue();
        AdviceTiming terms = queue.advice().orElseThrow();
        int least = terms.workersPerShortQuestion();
        // Tickets that expire before an answer could replace them are asked for anew.
        long answered = nowMilliseconds + (long) terms.decisionMilliseconds();
        StepDefinition definition = step.tasks().definition();
        List<Candidate> free = new ArrayList<>();
        List<Candidate> full = new ArrayList<>();
        Resources reserved = definition.reserved();
        SpreadLimit spread = new SpreadLimit(step, capacity);
        Predicate<WorkerId> eligible = desk.eligible(step.id());
        int missing = waiting;
        double prepared = 0;
        for (WorkerCapacity worker : pool.mostFreeFirst()) {
            WorkerId id = worker.id();
            int most = spread.remaining(id);
            if (most == 0
                    || !worker.hasLabelFor(definition)
                    || !eligible.test(id)
                    || !worker.entry().worker().capacity().holds(reserved)) {
                continue;
            }
            int fitting = worker.tasksThatFit(reserved, Math.max(waiting, 2));
            int room = Math.min(Math.min(most, waiting), fitting);
            if (desk.ticket(step.id(), id, answered).isPresent()) {
                missing -= room;
                prepared += room == 0 ? EXPECTED_FREED_TASKS : 0;
            } else {
                boolean granted = desk.wasGranted(step.id(), id);
                (room > 0 ? free : full).add(new Candidate(worker, room, fitting > 1, granted));
            }
        }
        List<WorkerId> named = new ArrayList<>();
        double share = desk.grantRate(queue.name());
        double found = choose(step, free, missing, least, share, named);
        // Room that comes free goes to a step that has a ticket there.
        choose(step, full, missing - found - prepared, 0, share, named);
        return named;
    }

    /** Adds prospects until they are likely to take the tasks; returns how many they should. */
    private double choose(
            ReadyStep step,
            List<Candidate> prospects,
            double tasks,
            int least,
            double share,
            List<WorkerId> named) {
        if (tasks <= 0) {
            return 0;
        }
        prospects.sort(wantedFirst(step));
        double mean = 0;
        double variance = 0;
        int count = 0;
        for (Candidate prospect : prospects) {
            boolean enough = mean - Math.sqrt(variance) >= tasks;
            if (enough && count >= least) {
                break;
            }
            double chance = prospect.granted() ? 1 : share;
            double room = Math.max(EXPECTED_FREED_TASKS, prospect.room());
            mean += chance * room;
            variance += chance * (1 - chance) * room * room;
            count++;
            named.add(prospect.id());
        }
        return mean;
    }

    private static Comparator<Candidate> wantedFirst(ReadyStep step) {
        Optional<String> near = step.tasks().definition().dataRack();
        return Comparator.comparing((Candidate prospect) -> !prospect.granted())
                .thenComparing(
                        prospect ->
                                near.isPresent()
                                        && !prospect.worker()
                                                .entry()
                                                .worker()
                                                .labels()
                                                .contains(near.get()))
                // The last room of a worker is often taken before the answer comes.
                .thenComparing(prospect -> !prospect.roomy())
                .thenComparingInt(prospect -> spread(step, prospect.id()))
                .thenComparing(prospect -> prospect.id().value());
    }

    /** Returns a number that orders the workers of each step in another way. */
    private static int spread(ReadyStep step, WorkerId worker) {
        long mixed = (31L * step.id().hashCode() + worker.hashCode()) * 0x9E37_79B9_7F4A_7C15L;
        return (int) (mixed >>> 32);
    }
}
