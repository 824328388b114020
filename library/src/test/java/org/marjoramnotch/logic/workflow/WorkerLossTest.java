package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

class WorkerLossTest {
    private static final String ID = "0123456789abcdef";
    private static final WorkerId ONE = new WorkerId("w-1");

    private final WorkflowCell cell = new WorkflowCell(5);

    @BeforeEach
    void startFleet() {
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(50);
        cell.addWorker("w-1", new Resources(8_000, 16_000, 0));
        cell.run(300);
    }

    private void submitStanding() {
        StepDefinition step =
                StepDefinition.builder()
                        .demand(new Resources(1_000, 100, 0))
                        .standing(true)
                        .build();
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target(ID),
                        new WorkflowDraft("payload", List.of(step), Optional.empty())));
    }

    private long liveRuns() {
        return cell.workers.values().stream().mapToLong(worker -> worker.live().size()).sum();
    }

    @Test
    void cancelledRunIsStoppedThoughWorkerRejectsFirstCalls() {
        submitStanding();
        cell.run(500);
        assertThat(liveRuns()).isEqualTo(1);
        cell.workers.get(ONE).rejectCalls(true);
        cell.request(new CancelWorkflowRequest(TestFleet.target(ID)));
        cell.run(500);
        cell.workers.get(ONE).rejectCalls(false);
        cell.run(1_000);
        assertThat(liveRuns()).isZero();
    }

    @Test
    void taskRunsElsewhereIfRestartedWorkerNeverAnswers() {
        cell.hang(ONE, true);
        submitStanding();
        cell.run(100);
        cell.crash(ONE);
        cell.addWorker("w-2", new Resources(8_000, 16_000, 0));
        cell.run(2_000);
        cell.addWorker("w-1", new Resources(8_000, 16_000, 0));
        cell.crash(ONE);
        cell.run(7_000);
        assertThat(liveRuns()).isEqualTo(1);
    }
}
