package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowState;

/** Guards against a large workflow, late in any case, that makes small ones late. */
class ServicePlanRankingTest {
    private static final long OBJECTIVE_MILLISECONDS = 850;
    private static final int SMALL_WORKFLOWS = 4;

    private final WorkflowCell cell = new WorkflowCell(5);

    /** Eight cores are busy; then ten tasks and four times two tasks of 400 ms are submitted. */
    @Test
    void smallWorkflowsComeBeforeTheLargeOneThatIsLate() {
        cell.settings = WorkflowSettings.builder().leaseMilliseconds(3_000).setsAside(true).build();
        cell.changeLeader();
        cell.answerListsPromptly();
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(100);
        cell.addWorker("w-1", new Resources(8_000, 64_000, 0));
        cell.workers
                .values()
                .forEach(worker -> worker.useRunTimes(StepDefinition::estimateMilliseconds));
        cell.run(300);
        submit(0, 8);
        cell.run(200);

        submit(1, 10);
        IntStream.rangeClosed(2, SMALL_WORKFLOWS + 1).forEach(number -> submit(number, 2));
        cell.run(OBJECTIVE_MILLISECONDS);
        assertThat(IntStream.rangeClosed(2, SMALL_WORKFLOWS + 1).filter(this::isComplete))
                .hasSize(SMALL_WORKFLOWS);
        cell.run(1_500);
        assertThat(isComplete(1)).isTrue();
        assertThat(cell.decisionLog)
                .filteredOn(entry -> entry.toString().contains("work_set_aside"))
                .hasSize(1);
    }

    private void submit(int number, int tasks) {
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target(id(number)), TestFleet.draft(tasks, 1_000)));
    }

    private boolean isComplete(int number) {
        return cell.ledger
                .workflow(new JobId(id(number)))
                .map(entry -> entry.state() == WorkflowState.COMPLETE)
                .orElse(false);
    }

    private static String id(int number) {
        return "%016x".formatted(number);
    }
}
