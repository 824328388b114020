package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.PoolDefinition;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;
import org.marjoramnotch.model.workflow.WorkflowState;

/** A pool of wide work that saves its state, and short urgent work. */
final class PreemptionCell {
    static final long SHORT_MILLISECONDS = 640;
    private static final long WIDE_MILLISECONDS = 5_000;
    private static final long SAVE_MILLISECONDS = 500;
    private static final int STEPS = 3;

    /** The objective of short work: 1.5 times its three steps, and 250 ms. */
    private static final long OBJECTIVE_MILLISECONDS = 3_130;

    final WorkflowCell cell;
    private final Map<JobId, Long> submittedAt = new HashMap<>();
    private final Map<JobId, Long> completeAt = new HashMap<>();
    private int submitted;

    PreemptionCell(long seed, boolean preemption) {
        this(seed, preemption, Optional.empty());
    }

    PreemptionCell(long seed, boolean preemption, Optional<AdviceTiming> advice) {
        cell = new WorkflowCell(seed);
        cell.settings =
                WorkflowSettings.builder().leaseMilliseconds(3_000).preemption(preemption).build();
        cell.changeLeader();
        cell.answerListsPromptly();
        cell.request(
                new ApplyConfiguration(
                        new FleetConfiguration(
                                1,
                                "document",
                                List.of(
                                        TestFleet.queue("s", "/s/", 0, true, advice),
                                        TestFleet.queue("w", "/w/", 2, true, Optional.empty())),
                                List.of(new PoolDefinition(WorkflowCell.POOL, false, false)),
                                List.of())));
        cell.run(100);
        cell.afterEachStep(this::noteComplete);
    }

    void addWorkers(int count) {
        for (int worker = 0; worker < count; worker++) {
            String name = "w-%02d".formatted(worker);
            cell.addWorker(name, new Resources(4_000, 16_000, 0));
            configure(new WorkerId(name));
        }
        cell.run(1_200);
    }

    private void configure(WorkerId id) {
        SimulatedFleetWorker worker = cell.workers.get(id);
        worker.checkpoints.saveEvery(SAVE_MILLISECONDS);
        worker.useRunTimes(step -> step.estimateMilliseconds() + cell.random().nextLong(100));
    }

    /** Ends a worker with all that runs on it, and starts its next incarnation. */
    void restart(WorkerId id) {
        FleetWorker worker = cell.workers.get(id).worker();
        cell.crash(id);
        cell.addWorker(
                new FleetWorker(
                        new WorkerIncarnation(id, WorkflowCell.EPOCH + cell.now()),
                        worker.pool(),
                        worker.address(),
                        worker.availabilityZone(),
                        worker.capacity(),
                        worker.labels(),
                        false));
        configure(id);
    }

    /** Submits a step of wide tasks that take one processor each. */
    JobId submitWide(int tasks, boolean gang) {
        return submit(
                "/w/",
                List.of(
                        StepDefinition.builder()
                                .tasks(tasks)
                                .demand(new Resources(1_000, 100, 0))
                                .estimateMilliseconds(WIDE_MILLISECONDS)
                                .checkpointing(true)
                                .gang(gang)
                                .build()));
    }

    /** Submits a chain of three short tasks that take one processor each. */
    JobId submitShort() {
        StepDefinition.Builder step =
                StepDefinition.builder()
                        .demand(new Resources(1_000, 100, 0))
                        .estimateMilliseconds(SHORT_MILLISECONDS);
        return submit(
                "/s/",
                List.of(
                        step.build(),
                        step.after(List.of(0)).build(),
                        step.after(List.of(STEPS - 2)).build()));
    }

    private JobId submit(String prefix, List<StepDefinition> steps) {
        submitted++;
        String name = "%016x".formatted(submitted);
        cell.request(
                new SubmitWorkflowRequest(
                        new CallTarget("callers.example", prefix + name, Optional.empty()),
                        new WorkflowDraft("payload", steps, Optional.empty())));
        submittedAt.put(new JobId(name), cell.now());
        return new JobId(name);
    }

    void cancel(JobId workflow, String prefix) {
        cell.request(
                new CancelWorkflowRequest(
                        new CallTarget(
                                "callers.example", prefix + workflow.value(), Optional.empty())));
    }

    private void noteComplete() {
        submittedAt
                .keySet()
                .forEach(
                        workflow ->
                                cell.ledger
                                        .workflow(workflow)
                                        .filter(entry -> entry.state() == WorkflowState.COMPLETE)
                                        .ifPresent(
                                                entry ->
                                                        completeAt.putIfAbsent(
                                                                workflow, cell.now())));
    }

    boolean isComplete(JobId workflow) {
        return completeAt.containsKey(workflow);
    }

    /** Returns whether short work was complete within its objective. */
    boolean isInTime(JobId workflow) {
        return isComplete(workflow)
                && completeAt.get(workflow) - submittedAt.get(workflow) <= OBJECTIVE_MILLISECONDS;
    }

    /** Runs until the time, or until all workflows that were not refused are complete. */
    boolean completesAll(long mostMilliseconds, JobId... cancelled) {
        long end = cell.now() + mostMilliseconds;
        int refused = DecisionFields.of(cell.decisionLog, "workflow_refused").size();
        int expected = submitted - cancelled.length - refused;
        while (completeAt.size() < expected && cell.now() < end) {
            cell.run(100);
        }
        return completeAt.size() >= expected;
    }

    List<Map<String, String>> stops() {
        return DecisionFields.of(cell.decisionLog, "run_preempted");
    }

    /** Checks that no stop was counted as an attempt. */
    void checkAttempts() {
        assertThat(DecisionFields.of(cell.decisionLog, "run_ended"))
                .filteredOn(end -> end.get("outcome").equals("STOPPED"))
                .allSatisfy(end -> assertThat(end).containsEntry("failures", "0"));
    }

    /** Checks that no stop was counted as an attempt, and that one leader stops none thrice. */
    void checkStops() {
        checkAttempts();
        assertThat(
                        stops().stream()
                                .map(stop -> stop.get("run").split("/")[0])
                                .collect(Collectors.groupingBy(run -> run, Collectors.counting()))
                                .values())
                .allSatisfy(count -> assertThat(count).isLessThanOrEqualTo(2L));
    }

    long thrownAway() {
        return cell.workers.values().stream()
                .mapToLong(worker -> worker.checkpoints.thrownAway())
                .sum();
    }
}
