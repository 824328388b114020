package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Simulates gangs across workers: their members work and end together, or end without success if
 * some are missing.
 */
final class SimulatedGangs {
    private static final long MISSING_MEMBER_TIMEOUT_MILLISECONDS = 4_000;

    private record GangRun(StepId step, long number) {}

    private record Member(SimulatedFleetWorker worker, SimulatedRun run) {}

    private final Supplier<Collection<SimulatedFleetWorker>> workers;
    private final LongSupplier clock;
    private final Map<GangRun, Long> endsAt = new HashMap<>();

    SimulatedGangs(WorkflowCell cell) {
        this(cell.workers::values, cell::now);
        cell.afterEachStep(this::advance);
    }

    SimulatedGangs(Supplier<Collection<SimulatedFleetWorker>> workers, LongSupplier clock) {
        this.workers = workers;
        this.clock = clock;
    }

    /** Ends the runs of gangs that are due to end. */
    void advance() {
        Map<GangRun, List<Member>> present = new HashMap<>();
        for (SimulatedFleetWorker worker : workers.get()) {
            for (SimulatedRun run : worker.live()) {
                if (run.step.gang()) {
                    RunId id = run.run;
                    present.computeIfAbsent(
                                    new GangRun(id.task().step(), id.number()),
                                    key -> new ArrayList<>())
                            .add(new Member(worker, run));
                }
            }
        }
        present.forEach(this::advance);
        Set<GangRun> over = new HashSet<>(endsAt.keySet());
        over.removeAll(present.keySet());
        over.forEach(endsAt::remove);
    }

    private void advance(GangRun gang, List<Member> members) {
        int size = members.get(0).run().step.tasks();
        Long end = endsAt.get(gang);
        if (end == null && members.size() == size) {
            long work = members.get(0).run().step.estimateMilliseconds();
            endsAt.put(gang, clock.getAsLong() + work);
        } else if (end == null) {
            members.stream()
                    .filter(
                            member ->
                                    clock.getAsLong() - member.run().startedAt
                                            >= MISSING_MEMBER_TIMEOUT_MILLISECONDS)
                    .forEach(member -> end(member, RunOutcome.ALONE));
        } else if (members.size() < size) {
            members.forEach(member -> end(member, RunOutcome.BROKEN));
        } else if (clock.getAsLong() >= end) {
            RunOutcome outcome =
                    members.get(0).run().outcome == RunOutcome.FAILED
                            ? RunOutcome.FAILED
                            : RunOutcome.DONE;
            members.forEach(member -> end(member, outcome));
        }
    }

    private static void end(Member member, RunOutcome outcome) {
        member.worker().endNow(member.run().run, outcome);
    }
}
