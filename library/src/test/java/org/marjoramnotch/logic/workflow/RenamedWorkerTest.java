package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;
import org.marjoramnotch.model.workflow.WorkflowState;

/** A worker with another name answers at the address of one that has ended, and refuses orders. */
class RenamedWorkerTest {
    private static final String ID = "0123456789abcdef";
    private static final WorkerId RENAMED = new WorkerId("w-1");
    private static final Resources CAPACITY = new Resources(8_000, 16_000, 0);

    /** Work with room must not be without a run for longer. */
    private static final long BOUND_MILLISECONDS = 3_000;

    private final WorkflowCell cell = new WorkflowCell(3);

    @BeforeEach
    void startFleet() {
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(50);
        cell.addWorker("w-1", CAPACITY);
        cell.run(2_000);
    }

    private void submitStanding() {
        StepDefinition step =
                StepDefinition.builder()
                        .demand(new Resources(1_000, 100, 0))
                        .estimateMilliseconds(60_000)
                        .standing(true)
                        .build();
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target(ID),
                        new WorkflowDraft("payload", List.of(step), Optional.empty())));
    }

    private int running() {
        return cell.workers.values().stream().mapToInt(worker -> worker.live().size()).sum();
    }

    /** Guards against a task that stays with an ended worker which refused its start. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void taskWhoseStartWasRefusedRunsElsewhere(boolean firstCopyUnanswered) {
        cell.crash(RENAMED);
        cell.network.rename(RENAMED);
        cell.hang(RENAMED, firstCopyUnanswered);
        submitStanding();
        cell.run(100);
        cell.addWorker("w-2", CAPACITY);
        cell.run(400);
        cell.hang(RENAMED, false);
        cell.run(BOUND_MILLISECONDS);
        assertThat(cell.decisionLog)
                .anyMatch(logEntry -> logEntry.toString().contains("OTHER_INCARNATION"));
        assertThat(running()).isEqualTo(1);
    }

    /** Guards against resources that stay reserved on an ended worker which refused a stop. */
    @Test
    void cancelledRunWhoseStopWasRefusedIsReleased() {
        submitStanding();
        cell.run(500);
        cell.crash(RENAMED);
        cell.network.rename(RENAMED);
        cell.request(new CancelWorkflowRequest(TestFleet.target(ID)));
        cell.run(BOUND_MILLISECONDS);
        assertThat(cell.ledger.worker(RENAMED)).isEmpty();
        assertThat(cell.ledger.workflow(new JobId(ID)).orElseThrow().state())
                .isEqualTo(WorkflowState.CANCELLED);
    }
}
