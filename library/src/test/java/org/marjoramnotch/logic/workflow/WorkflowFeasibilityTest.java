package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.ReleaseWorker;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.WorkflowState;

class WorkflowFeasibilityTest {
    private static final String ID = "0123456789abcdef";

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
        cell.crash(large);
        cell.request(new ReleaseWorker(large, OptionalLong.empty()));
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
}
