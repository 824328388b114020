package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowState;

/**
 * A rush of quick steps that outlasts their objectives and of which the advisor can answer only a
 * part. An accepted step that is late must get its turn while the rush goes on.
 */
class OverdueStepTurnsTest {
    private static final AdviceTiming TIMING = new AdviceTiming(100, 1, 2_500);
    private static final String OVERDUE = "00000000000000aa";
    private static final long RUSH_MILLISECONDS = 20_000;
    private static final int STEP_MILLISECONDS = 5;

    private final WorkflowCell cell = new WorkflowCell(3);
    private long submitted;

    @ParameterizedTest(name = "{0} submissions a second")
    @CsvSource({"25", "40"})
    void overdueStepRunsWhileRushGoesOn(int perSecond) {
        cell.answerListsPromptly();
        cell.request(
                new ApplyConfiguration(
                        TestFleet.configuration(1, Resources.NONE, Optional.of(TIMING))));
        cell.run(100);
        for (int index = 0; index < 40; index++) {
            cell.addWorker("w-" + index, new Resources(64_000, 128_000, 0));
        }
        cell.run(2_000);
        submit(OVERDUE);
        // No daemon asks the advisor until the step is overdue and the rush has begun.
        cell.run(4_000);
        ReplayAdvisor advisor =
                new ReplayAdvisor(
                        cell, Map.of("quick", new ReplayAdvisor.QueueAdvice(TIMING, 0.7)), 11);
        rush(advisor, perSecond, 2_000);
        advisor.addDaemons(2);
        rush(advisor, perSecond, RUSH_MILLISECONDS);
        assertThat(cell.ledger.workflow(new JobId(OVERDUE)).map(WorkflowEntry::state))
                .contains(WorkflowState.COMPLETE);
    }

    private void rush(ReplayAdvisor advisor, int perSecond, long milliseconds) {
        long end = cell.now() + milliseconds;
        while (cell.now() < end) {
            if (cell.random().nextDouble() < perSecond * STEP_MILLISECONDS / 1_000.0) {
                submit("%016x".formatted(0x1000 + submitted++));
            }
            cell.run(STEP_MILLISECONDS);
            advisor.advance();
        }
    }

    @Test
    void overdueStepsTakeTurnsAfterEightRounds() {
        OverdueStepTurns turns = new OverdueStepTurns();
        ReadyStep inTime = step(1, 5_000);
        ReadyStep late = step(2, 900);
        ReadyStep later = step(3, 800);
        List<List<ReadyStep>> orders = new ArrayList<>();
        for (int round = 0; round < 27; round++) {
            List<ReadyStep> ordered = new ArrayList<>(List.of(inTime, late, later));
            turns.apply(1_000, ordered);
            if (!ordered.get(0).equals(inTime)) {
                orders.add(ordered);
            }
            turns.onProductiveRound();
        }
        assertThat(orders)
                .containsExactly(
                        List.of(later, inTime, late),
                        List.of(late, inTime, later),
                        List.of(later, inTime, late));
    }

    private static ReadyStep step(int number, long latestStart) {
        StepId id = new StepId(new JobId("%016x".formatted(number)), 0, 0);
        StepDefinition definition = StepDefinition.builder().build();
        Workflow workflow =
                new Workflow(
                        id.workflow(),
                        new QueueName("quick"),
                        Optional.empty(),
                        "payload",
                        List.of(definition),
                        Optional.empty(),
                        0);
        QueueDefinition queue = TestFleet.queue("quick", "/quick/", 0, true, Optional.empty());
        return new ReadyStep(
                new WorkflowEntry(workflow, queue),
                id,
                new StepTasks(definition),
                latestStart + 100,
                latestStart,
                1_000);
    }

    private void submit(String id) {
        cell.request(new SubmitWorkflowRequest(TestFleet.target(id), TestFleet.draft(4, 1_000)));
    }
}
