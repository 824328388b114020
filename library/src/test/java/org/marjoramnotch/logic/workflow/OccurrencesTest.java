package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramnotch.model.command.CancelWorkflow;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.ForgetWorkflows;
import org.marjoramnotch.model.command.ReplaceConfiguration;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.command.SubmitWorkflow;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.Recurrence;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunEndEffect;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.TaskRecord;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowRecord;
import org.marjoramnotch.model.workflow.WorkflowSnapshot;
import org.marjoramnotch.model.workflow.WorkflowState;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * Runs occurrences of a workflow in the ledger. Guards against state that grows with what is due in
 * years, which exhausted every replica.
 */
class OccurrencesTest {
    private static final JobId ID = new JobId("0123456789abcdef");
    private static final int OCCURRENCES = 1_000;
    private static final int TASKS = 3;
    private static final TaskRecord WAITING =
            new TaskRecord('W', 0, 0, 0, "", Optional.empty(), false, false, List.of());
    private static final TaskRecord DONE =
            new TaskRecord(
                    'D', 1, 0, 0, "", Optional.of(new WorkerId("w-1")), false, false, List.of());

    private static final WorkerIncarnation WORKER = new WorkerIncarnation(new WorkerId("w-1"), 1);

    private WorkflowLedger ledger = new WorkflowLedger();

    /** The order in which occurrences are done. */
    private enum Order {
        ASCENDING,
        DESCENDING,
        LAST_FIRST
    }

    @BeforeEach
    void start() {
        ledger.apply(new ReplaceConfiguration(TestFleet.configuration(1), 0));
        ledger.apply(
                new EnrollWorker(
                        new FleetWorker(
                                WORKER,
                                WorkflowCell.POOL,
                                "10.0.0.1:80",
                                new AvailabilityZone("zone"),
                                new Resources(8_000, 16_000, 0),
                                List.of("a", "rack-1"),
                                false)));
        ledger.apply(new SubmitWorkflow(workflow(OCCURRENCES)));
    }

    private static Workflow workflow(int occurrences) {
        StepDefinition step =
                StepDefinition.builder().tasks(TASKS).demand(new Resources(100, 100, 0)).build();
        return new Workflow(
                ID,
                new QueueName("quick"),
                Optional.empty(),
                "payload",
                List.of(step),
                Optional.of(new Recurrence(occurrences, 1_000, 86_400_000)),
                0);
    }

    private static RunId run(int occurrence, int index) {
        return new RunId(new WorkflowTaskId(new StepId(ID, occurrence, 0), index), 1);
    }

    private void begin(int occurrence, int index) {
        ledger.apply(new StartRuns(List.of(new RunPlacement(run(occurrence, index), WORKER, ""))));
    }

    private void complete(int occurrence, int index) {
        RunEnd end = new RunEnd(run(occurrence, index), RunOutcome.DONE, "");
        ledger.apply(new EndRuns(WORKER, List.of(end)));
    }

    private void complete(int occurrence) {
        for (int index = 0; index < TASKS; index++) {
            begin(occurrence, index);
            complete(occurrence, index);
        }
    }

    private WorkflowEntry entry() {
        return ledger.workflow(ID).orElseThrow();
    }

    private WorkflowRecord stored() {
        return ledger.snapshot().workflows().get(0);
    }

    private long heldBytes() {
        return ledger.held().totalBytes();
    }

    private void restart() {
        WorkflowLedger restored = new WorkflowLedger();
        restored.restore(ledger.snapshot());
        assertThat(restored.snapshot()).isEqualTo(ledger.snapshot());
        assertThat(restored.held().totalBytes()).isEqualTo(heldBytes());
        ledger = restored;
    }

    @Test
    void occurrenceHasStateFromItsFirstStartUntilAllItsTasksAreDone() {
        assertThat(stored().startedOccurrences()).isEmpty();
        long untouched = heldBytes();
        begin(7, 1);
        assertThat(entry().startedOccurrences()).containsOnlyKeys(7);
        assertThat(heldBytes()).isGreaterThan(untouched);
        restart();
        complete(7, 1);
        begin(7, 0);
        complete(7, 0);
        begin(7, 2);
        complete(7, 2);

        assertThat(entry().startedOccurrences()).isEmpty();
        assertThat(entry().isDone(7)).isTrue();
        assertThat(heldBytes()).isEqualTo(untouched);
        restart();
        assertThat(entry().isDone(7)).isTrue();
        assertThat(entry().nextOpenOccurrence(7)).isEqualTo(8);
    }

    @ParameterizedTest
    @EnumSource(Order.class)
    void workflowIsCompleteAfterItsLastOccurrence(Order order) {
        ledger.apply(new CancelWorkflow(ID));
        ledger.apply(new ForgetWorkflows(List.of(ID)));
        int count = 70;
        ledger.apply(new SubmitWorkflow(workflow(count)));
        List<Integer> occurrences = new ArrayList<>(IntStream.range(0, count).boxed().toList());
        if (order == Order.DESCENDING) {
            Collections.reverse(occurrences);
        } else if (order == Order.LAST_FIRST) {
            occurrences.add(0, occurrences.remove(count - 1));
        }
        for (int occurrence : occurrences) {
            assertThat(entry().state()).isNotEqualTo(WorkflowState.COMPLETE);
            complete(occurrence);
            if (occurrence % 32 == 0) {
                restart();
            }
        }
        assertThat(entry().state()).isEqualTo(WorkflowState.COMPLETE);
        ledger.apply(new ForgetWorkflows(List.of(ID)));
        assertThat(heldBytes()).isZero();
    }

    @Test
    void endOfTaskInDoneOccurrenceHasNoEffect() {
        complete(3);
        RunEnd late = new RunEnd(run(3, 0), RunOutcome.FAILED, "");
        assertThat(ledger.effectOf(WORKER, late)).isEqualTo(RunEndEffect.TASK_COMPLETE);
        begin(3, 0);
        assertThat(ledger.worker(WORKER).orElseThrow().runs()).isEmpty();
    }

    @Test
    void cancelledWorkflowKeepsStateUntilItsLastRunEnds() {
        begin(5, 0);
        ledger.apply(new CancelWorkflow(ID));
        restart();
        assertThat(entry().running()).hasSize(1);
        complete(5, 0);
        assertThat(stored().startedOccurrences()).isEmpty();
        ledger.apply(new ForgetWorkflows(List.of(ID)));
        assertThat(heldBytes()).isZero();
    }

    /** A snapshot of an earlier release lists the tasks of all occurrences. */
    @Test
    void snapshotOfEarlierReleaseIsRestored() {
        List<List<List<TaskRecord>>> tasks =
                IntStream.range(0, OCCURRENCES)
                        .mapToObj(
                                occurrence ->
                                        List.of(
                                                switch (occurrence) {
                                                    case 0 -> List.of(DONE, DONE, DONE);
                                                    case 1 -> List.of(DONE, WAITING, WAITING);
                                                    default -> List.of(WAITING, WAITING, WAITING);
                                                }))
                        .toList();
        WorkflowRecord present = stored();
        WorkflowRecord earlier =
                new WorkflowRecord(
                        present.workflow(),
                        present.queue(),
                        WorkflowState.RUNNING,
                        tasks,
                        List.of(),
                        Optional.empty(),
                        List.of(),
                        List.of());
        WorkflowSnapshot snapshot = ledger.snapshot();
        WorkflowLedger restored = new WorkflowLedger();
        restored.restore(
                new WorkflowSnapshot(
                        snapshot.configuration(),
                        snapshot.workers(),
                        List.of(earlier),
                        snapshot.history(),
                        snapshot.configurationProposedEpochMilliseconds(),
                        snapshot.followers(),
                        snapshot.inheritedLeases(),
                        snapshot.dismissedWorkers(),
                        snapshot.evacuations(),
                        snapshot.heldLimits()));
        ledger = restored;

        assertThat(entry().isDone(0)).isTrue();
        assertThat(entry().startedOccurrences()).containsOnlyKeys(1);
        assertThat(entry().nextOpenOccurrence(2)).isEqualTo(2);
        restart();
        begin(1, 1);
        complete(1, 1);
        begin(1, 2);
        complete(1, 2);
        assertThat(entry().isDone(1)).isTrue();
    }
}
