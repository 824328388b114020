package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.ReportWorker;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;
import org.marjoramnotch.model.workflow.WorkflowState;

class WorkflowFeasibilityTest {
    private static final String ID = "0123456789abcdef";
    private static final WorkerId LARGE = new WorkerId("large");

    private final WorkflowCell cell = new WorkflowCell(11);

    @BeforeEach
    void startFleet() {
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(50);
        cell.addWorker("small", new Resources(8_000, 16_000, 0));
        cell.addWorker("large", new Resources(64_000, 16_000, 0));
        cell.run(300);
    }

    private WorkflowState state() {
        return cell.ledger.workflow(new JobId(ID)).orElseThrow().state();
    }

    @Test
    void temporaryLossOfLargeWorkersDoesNotFailWorkflow() {
        WorkerId large = new WorkerId("large");
        TestFleet.leave(cell, large);
        cell.request(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(1, 20_000)));
        cell.run(6_000);
        assertThat(state()).isEqualTo(WorkflowState.QUEUED);
        cell.addWorker("large", new Resources(64_000, 16_000, 0));
        cell.run(4_000);
        assertThat(state()).isEqualTo(WorkflowState.COMPLETE);
    }

    @Test
    void temporarilyLoweredLimitDoesNotFailWorkflow() {
        cell.request(
                new ApplyConfiguration(
                        TestFleet.configuration(2, new Resources(500, 0, 0), Optional.empty())));
        cell.run(50);
        cell.request(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(1, 1_000)));
        cell.run(6_000);
        assertThat(state()).isEqualTo(WorkflowState.QUEUED);
        cell.request(new ApplyConfiguration(TestFleet.configuration(3)));
        cell.run(4_000);
        assertThat(state()).isEqualTo(WorkflowState.COMPLETE);
    }

    @Test
    void workflowBeyondEveryLimitOfItsTeamFails() {
        cell.request(
                new ApplyConfiguration(
                        TestFleet.configuration(2, new Resources(70_000, 0, 0), Optional.empty())));
        cell.run(50);
        cell.request(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(1, 70_001)));
        cell.run(6_000);
        assertThat(state()).isEqualTo(WorkflowState.FAILED);
    }

    private void lowerLimit() {
        cell.request(
                new ApplyConfiguration(
                        TestFleet.configuration(2, new Resources(500, 0, 0), Optional.empty())));
        cell.run(100);
    }

    private void raiseLimit() {
        cell.request(new ApplyConfiguration(TestFleet.configuration(3)));
        cell.run(100);
    }

    private void removeLarge() {
        TestFleet.leave(cell, LARGE);
        cell.run(5_000);
    }

    private void addLarge() {
        cell.addWorker("large", new Resources(64_000, 16_000, 0));
        cell.run(100);
    }

    private int running() {
        return cell.workers.values().stream().mapToInt(worker -> worker.live().size()).sum();
    }

    private void submit(StepDefinition... steps) {
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target(ID),
                        new WorkflowDraft("payload", List.of(steps), Optional.empty())));
        cell.run(100);
    }

    private static StepDefinition.Builder step(long processorMillis) {
        return StepDefinition.builder()
                .demand(new Resources(processorMillis, 100, 0))
                .estimateMilliseconds(400);
    }

    /** Guards against the failure of work at work after a restart that forgets its limit. */
    @Test
    void runningWorkOutlastsLoweredLimitAndRestartFromSnapshot() {
        submit(step(1_000).tasks(2).standing(true).build());
        cell.run(500);
        assertThat(running()).isEqualTo(2);
        lowerLimit();
        cell.restartFromSnapshot();
        cell.run(8_000);
        assertThat(state()).isEqualTo(WorkflowState.RUNNING);
        assertThat(running()).isEqualTo(2);
    }

    /** Guards against the failure of work that waits, after a restart that forgets its limit. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void waitingWorkOutlastsLoweredLimitAndRestartsFromSnapshot(int restarts) {
        lowerLimit();
        submit(step(1_000).build());
        for (int restart = 0; restart < restarts; restart++) {
            cell.restartFromSnapshot();
            cell.run(6_000);
        }
        assertThat(state()).isEqualTo(WorkflowState.QUEUED);
        raiseLimit();
        cell.run(4_000);
        assertThat(state()).isEqualTo(WorkflowState.COMPLETE);
    }

    /** Guards against the failure of work whose workers are away while the replicas restart. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void waitingWorkOutlastsLossOfLargeWorkersAndRestartsFromSnapshot(int restarts) {
        removeLarge();
        submit(step(20_000).build());
        for (int restart = 0; restart < restarts; restart++) {
            cell.restartFromSnapshot();
            cell.run(6_000);
        }
        assertThat(state()).isEqualTo(WorkflowState.QUEUED);
        addLarge();
        cell.run(4_000);
        assertThat(state()).isEqualTo(WorkflowState.COMPLETE);
    }

    /** Guards against the failure of a workflow because of a step that is done. */
    @Test
    void doneStepIsNotCheckedAgainstTheWorkersOfAnotherPool() {
        submit(
                step(20_000).build(),
                step(1_000).after(List.of(0)).estimateMilliseconds(60_000).standing(false).build());
        cell.run(3_000);
        assertThat(state()).isEqualTo(WorkflowState.RUNNING);
        cell.request(new ApplyConfiguration(TestFleet.movedQueue(2)));
        cell.run(100);
        addSmallWorker();
        cell.run(8_000);
        assertThat(state()).isEqualTo(WorkflowState.RUNNING);
    }

    private void addSmallWorker() {
        FleetWorker small = cell.workers.get(new WorkerId("small")).worker();
        cell.request(
                new ReportWorker(
                        new FleetWorker(
                                new WorkerIncarnation(new WorkerId("other"), cell.now()),
                                TestFleet.OTHER_POOL,
                                "10.0.0.2:80",
                                small.availabilityZone(),
                                small.capacity(),
                                small.labels(),
                                false),
                        1));
        cell.run(100);
    }

    @Test
    void workflowBeyondEveryLimitFailsAfterRestartFromSnapshot() {
        cell.request(
                new ApplyConfiguration(
                        TestFleet.configuration(2, new Resources(5_000, 0, 0), Optional.empty())));
        cell.run(100);
        cell.restartFromSnapshot();
        submit(step(70_001).build());
        cell.run(6_000);
        assertThat(state()).isEqualTo(WorkflowState.FAILED);
    }
}
