package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

class UnansweredStartTest {
    /** A standing task must run 6 s after its last run if there was capacity for 3 s. */
    private static final long BOUND_MILLISECONDS = 9_000;

    /** Guards against a task that is tied for good to a worker that leaves its start unanswered. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void standingTaskMovesOnFromWorkerThatLeavesStartsUnanswered(boolean listsPromptly) {
        WorkflowCell cell = new WorkflowCell(7);
        if (listsPromptly) {
            cell.answerListsPromptly();
        }
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(100);
        for (String name : List.of("w-1", "w-2", "w-3")) {
            cell.addWorker(name, new Resources(8_000, 16_000, 0));
        }
        cell.run(2_000);
        cell.network.ignoreOrders(new WorkerId("w-1"), true);
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(2)
                        .demand(new Resources(1_000, 100, 0))
                        .estimateMilliseconds(60_000)
                        .standing(true)
                        .mostPerWorker(1)
                        .build();
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target("0123456789abcdef"),
                        new WorkflowDraft("payload", List.of(step), Optional.empty())));
        cell.run(BOUND_MILLISECONDS);
        int running = cell.workers.values().stream().mapToInt(worker -> worker.live().size()).sum();
        assertThat(running).isEqualTo(2);
    }
}
