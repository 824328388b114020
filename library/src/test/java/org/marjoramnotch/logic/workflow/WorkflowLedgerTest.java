package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.DismissWorker;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.EnrollWorker;
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
import org.marjoramnotch.model.workflow.AppliedEnd;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunEndEffect;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowState;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

class WorkflowLedgerTest {
    private static final JobId ID = new JobId("0123456789abcdef");
    private static final WorkerIncarnation INCARNATION =
            new WorkerIncarnation(new WorkerId("w-1"), 1);

    private static final StepDefinition GANG =
            StepDefinition.builder().tasks(2).demand(new Resources(100, 100, 0)).gang(true).build();

    private final WorkflowLedger ledger = new WorkflowLedger();

    @BeforeEach
    void startFleet() {
        ledger.apply(new ReplaceConfiguration(TestFleet.configuration(1), 0));
        ledger.apply(
                new EnrollWorker(
                        new FleetWorker(
                                INCARNATION,
                                WorkflowCell.POOL,
                                "10.0.0.1:80",
                                new AvailabilityZone("zone"),
                                new Resources(8_000, 16_000, 0),
                                List.of("a", "rack-1"),
                                false)));
    }

    private void start(StepDefinition step) {
        ledger.apply(
                new SubmitWorkflow(
                        new Workflow(
                                ID,
                                new QueueName("quick"),
                                Optional.empty(),
                                "payload",
                                List.of(step),
                                Optional.empty(),
                                0)));
        ledger.apply(
                new StartRuns(
                        IntStream.range(0, step.tasks())
                                .mapToObj(index -> new RunPlacement(run(index), INCARNATION, ""))
                                .toList()));
    }

    private static RunId run(int index) {
        return new RunId(new WorkflowTaskId(new StepId(ID, 0, 0), index), 1);
    }

    private static EndRuns end(int index, RunOutcome outcome) {
        return new EndRuns(INCARNATION, List.of(new RunEnd(run(index), outcome, "")));
    }

    private static AppliedEnd applied(int index, RunEndEffect effect) {
        return new AppliedEnd(new RunEnd(run(index), RunOutcome.DONE, ""), effect);
    }

    @Test
    void runCompletedBeforeItsWorkerWasDismissedCounts() {
        start(StepDefinition.builder().demand(new Resources(100, 100, 0)).build());
        ledger.apply(new DismissWorker(INCARNATION));
        ledger.apply(end(0, RunOutcome.DONE));
        assertThat(ledger.workflow(ID).orElseThrow().state()).isEqualTo(WorkflowState.COMPLETE);
    }

    @Test
    void endOfGangMemberEndsTheOthersWithIt() {
        start(GANG);
        assertThat(ledger.apply(end(1, RunOutcome.DONE)))
                .isEqualTo(
                        new CommandResult.RunsEnded(
                                List.of(
                                        applied(1, RunEndEffect.ENDED),
                                        applied(0, RunEndEffect.ENDED_WITH_GANG))));
    }

    @Test
    void secondEndOfCompleteTaskHasNoEffect() {
        start(StepDefinition.builder().tasks(2).demand(new Resources(100, 100, 0)).build());
        ledger.apply(end(0, RunOutcome.DONE));
        assertThat(ledger.apply(end(0, RunOutcome.DONE)))
                .isEqualTo(
                        new CommandResult.RunsEnded(
                                List.of(applied(0, RunEndEffect.TASK_COMPLETE))));
    }

    @Test
    void failuresOfGangMembersInOneRunCountOnceAfterSnapshot() {
        start(GANG);
        ledger.apply(end(0, RunOutcome.FAILED));
        WorkflowLedger restored = new WorkflowLedger();
        restored.restore(ledger.snapshot());
        ledger.apply(end(1, RunOutcome.FAILED));
        restored.apply(end(1, RunOutcome.FAILED));
        assertThat(restored.snapshot()).isEqualTo(ledger.snapshot());
    }
}
