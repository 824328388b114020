package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowState;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * Checks what callers are promised: accepted workflows are not lost, and they are served while
 * there is free capacity.
 */
final class StarvationMonitor {
    private static final long STARVED_MILLISECONDS = 3_000;
    private static final long RECOVERY_MILLISECONDS = 7_000;
    private static final long STANDING_MILLISECONDS = 6_000;
    private static final long CHECK_MILLISECONDS = 50;

    /** How long callers may ask for the state of a workflow that has ended. */
    private static final long STATUS_MILLISECONDS = 120_000;

    private final WorkflowCell cell;
    private final BiPredicate<StepId, WorkerId> advisor;
    private final Set<JobId> accepted = new HashSet<>();
    private final Set<JobId> cancelled = new HashSet<>();
    private final Map<JobId, Long> endedAt = new HashMap<>();
    private final Map<WorkflowTaskId, Set<Long>> failures = new HashMap<>();
    private final Map<Object, Long> lastServed = new HashMap<>();
    private final Map<Object, Long> capacitySince = new HashMap<>();
    private long disturbedAt;

    StarvationMonitor(WorkflowCell cell, BiPredicate<StepId, WorkerId> advisor) {
        this.cell = cell;
        this.advisor = advisor;
        cell.afterEachStep(this::check);
    }

    void onAccepted(JobId workflow) {
        accepted.add(workflow);
    }

    void onCancelled(JobId workflow) {
        cancelled.add(workflow);
    }

    /** Records a disturbance; starvation is not checked for some time afterwards. */
    void onDisturbance() {
        disturbedAt = cell.now();
    }

    void onEnd(RunId run, RunOutcome outcome) {
        if (outcome == RunOutcome.FAILED) {
            failures.computeIfAbsent(run.task(), task -> new HashSet<>()).add(run.number());
        }
    }

    private void check() {
        if (cell.now() % CHECK_MILLISECONDS != 0) {
            return;
        }
        Set<WorkflowTaskId> live = new HashSet<>();
        cell.workers
                .values()
                .forEach(worker -> worker.live().forEach(run -> live.add(run.run.task())));
        for (JobId id : accepted) {
            Optional<WorkflowEntry> entry = cell.ledger.workflow(id);
            entry.filter(known -> known.state().isFinal())
                    .ifPresent(ended -> endedAt.putIfAbsent(id, cell.now()));
            if (entry.isEmpty() && mayBeForgotten(id)) {
                continue;
            }
            assertThat(entry).as("accepted workflow " + id + " at " + cell.now()).isPresent();
            if (!cancelled.contains(id)) {
                checkState(entry.get());
                checkService(entry.get(), live);
            }
        }
    }

    /** Returns whether the workflow ended so long ago that its state need not be known. */
    private boolean mayBeForgotten(JobId id) {
        return endedAt.containsKey(id) && cell.now() - endedAt.get(id) >= STATUS_MILLISECONDS;
    }

    private void checkState(WorkflowEntry entry) {
        assertThat(entry.state())
                .as("state of " + entry.id())
                .isNotEqualTo(WorkflowState.CANCELLED);
        if (entry.state() == WorkflowState.FAILED) {
            boolean exhausted =
                    failures.entrySet().stream()
                            .filter(task -> task.getKey().step().workflow().equals(entry.id()))
                            .anyMatch(
                                    task -> task.getValue().size() >= entry.queue().mostFailures());
            assertThat(exhausted).as("cause of the failure of " + entry.id()).isTrue();
        }
    }

    private void checkService(WorkflowEntry entry, Set<WorkflowTaskId> live) {
        if (entry.state().isFinal()) {
            return;
        }
        boolean anyLive = live.stream().anyMatch(task -> task.step().workflow().equals(entry.id()));
        for (int number = 0; number < entry.steps(0).size(); number++) {
            StepTasks step = entry.steps(0).get(number);
            StepId id = new StepId(entry.id(), 0, number);
            if (!entry.isReady(0, number) || step.isDone()) {
                continue;
            }
            if (step.definition().standing()) {
                for (int index = 0; index < step.tasks().size(); index++) {
                    WorkflowTaskId task = new WorkflowTaskId(id, index);
                    check(task, live.contains(task), entry, id, STANDING_MILLISECONDS);
                }
            } else {
                check(id, anyLive, entry, id, STARVED_MILLISECONDS);
            }
        }
    }

    private void check(
            Object subject,
            boolean served,
            WorkflowEntry entry,
            StepId step,
            long limitMilliseconds) {
        long now = cell.now();
        if (served || !hasCapacity(entry, step)) {
            capacitySince.remove(subject);
        } else {
            capacitySince.putIfAbsent(subject, now);
        }
        if (served) {
            lastServed.put(subject, now);
        }
        lastServed.putIfAbsent(subject, now);
        long freeMilliseconds = now - capacitySince.getOrDefault(subject, now);
        boolean starved =
                freeMilliseconds >= STARVED_MILLISECONDS
                        && now - lastServed.get(subject) >= limitMilliseconds
                        && now - disturbedAt >= RECOVERY_MILLISECONDS;
        assertThat(starved)
                .as("%s unserved since %d at %d", subject, lastServed.get(subject), now)
                .isFalse();
    }

    /**
     * Returns whether the workers have twice the capacity that the step needs and less than half of
     * all capacity is in use.
     */
    private boolean hasCapacity(WorkflowEntry entry, StepId id) {
        StepDefinition step = entry.step(id).orElseThrow().definition();
        boolean advised = entry.queue().advice().isPresent();
        long fittingTasks = 0;
        long capacity = 0;
        long used = 0;
        for (SimulatedFleetWorker worker : cell.workers.values()) {
            FleetWorker present = worker.worker();
            Resources taken =
                    worker.live().stream()
                            .map(run -> run.step.reserved())
                            .reduce(Resources.NONE, Resources::plus);
            capacity += present.capacity().processorMillis();
            used += taken.processorMillis();
            boolean eligible =
                    !present.draining()
                            && step.requiredLabel().map(present.labels()::contains).orElse(true)
                            && (!advised || advisor.test(id, present.id()));
            if (eligible) {
                fittingTasks += countFitting(step, present.capacity(), taken, countOf(worker, id));
            }
        }
        int needed = step.gang() ? step.tasks() : 1;
        return fittingTasks >= 2L * needed && used * 2 < capacity && isTeamBelowHalf(entry, step);
    }

    private static long countOf(SimulatedFleetWorker worker, StepId step) {
        return worker.live().stream().filter(run -> run.run.task().step().equals(step)).count();
    }

    private static long countFitting(
            StepDefinition step, Resources capacity, Resources taken, long present) {
        long fittingTasks = 0;
        Resources sum = taken.plus(step.reserved());
        long maximum = step.mostPerWorker() == 0 ? step.tasks() : step.mostPerWorker() - present;
        while (fittingTasks < maximum && capacity.holds(sum)) {
            fittingTasks++;
            sum = sum.plus(step.reserved());
        }
        return fittingTasks;
    }

    private boolean isTeamBelowHalf(WorkflowEntry entry, StepDefinition step) {
        Resources running = Resources.NONE;
        List<SimulatedFleetWorker> workers = List.copyOf(cell.workers.values());
        for (SimulatedFleetWorker worker : workers) {
            running =
                    worker.live().stream()
                            .map(run -> run.step.demand())
                            .reduce(running, Resources::plus);
        }
        Resources twice = running.plus(running).plus(step.demand());
        int members = step.gang() ? step.tasks() : 1;
        for (int member = 1; member < members; member++) {
            twice = twice.plus(step.demand());
        }
        Resources needed = twice;
        return entry.workflow()
                .team()
                .flatMap(cell.ledger::team)
                .map(team -> team.allows(needed))
                .orElse(true);
    }
}
