package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/**
 * Guards against scheduling rounds whose work grows with the number of waiting steps times the
 * number of workers.
 */
class SchedulingWorkTest {
    private static final int WORKERS = 246;
    private static final int WAITING_STEPS = 300;

    /** One round every 150 ms, and one more. */
    private static final int ROUNDS_PER_SECOND = 8;

    private final WorkflowCell cell = new WorkflowCell(5);

    @Test
    void waitingStepsExamineNoWorkerWithoutFreeCapacity() {
        start(Optional.empty());
        submit(0, WORKERS, 8_000);
        cell.run(1_000);
        assertThat(running()).isEqualTo(WORKERS);
        for (int step = 1; step <= WAITING_STEPS; step++) {
            submit(step, 1, 4_000);
        }
        cell.run(500);

        long before = cell.examinedWorkers();
        cell.run(1_000);
        assertThat(cell.examinedWorkers() - before)
                .isBetween(1L, (long) ROUNDS_PER_SECOND * WAITING_STEPS);
        assertThat(running()).isEqualTo(WORKERS);
    }

    @Test
    void stepsThatAwaitAdviceExamineNoWorker() {
        start(Optional.of(new AdviceTiming(30, 0.5, 2_500)));
        for (int step = 1; step <= WAITING_STEPS; step++) {
            submit(step, 1, 4_000);
        }
        cell.run(500);

        long before = cell.examinedWorkers();
        cell.run(1_000);
        assertThat(cell.examinedWorkers() - before).isZero();
    }

    @Test
    void stepsWithTicketsButNoCapacityExamineWorkersOncePerPeriodicRound() {
        AdviceTiming timing = new AdviceTiming(30, 0.5, 2_500);
        cell.answerListsPromptly();
        start(Optional.of(timing));
        ReplayAdvisor advisor =
                new ReplayAdvisor(
                        cell, Map.of("quick", new ReplayAdvisor.QueueAdvice(timing, 1)), 3);
        advisor.addDaemons(39);
        cell.afterEachStep(advisor::advance);
        submit(0, WORKERS, 8_000);
        cell.run(3_000);
        assertThat(running()).isEqualTo(WORKERS);
        for (int step = 1; step <= WAITING_STEPS; step++) {
            submit(step, 1, 4_000);
        }
        cell.run(2_000);

        long before = cell.examinedWorkers();
        cell.run(1_000);
        assertThat(cell.examinedWorkers() - before)
                .isBetween(1L, (long) ROUNDS_PER_SECOND * WAITING_STEPS * WORKERS);
    }

    private void start(Optional<AdviceTiming> advice) {
        cell.request(new ApplyConfiguration(TestFleet.configuration(1, Resources.NONE, advice)));
        cell.run(100);
        for (int index = 0; index < WORKERS; index++) {
            cell.addWorker("w-" + index, new Resources(8_000, 64_000, 0));
        }
        cell.run(300);
    }

    private void submit(int number, int tasks, long processorMillis) {
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(tasks)
                        .demand(new Resources(processorMillis, 100, 0))
                        .estimateMilliseconds(600_000)
                        .build();
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target("%016x".formatted(number + 1)),
                        new WorkflowDraft("payload", List.of(step), Optional.empty())));
    }

    private int running() {
        return cell.ledger.workers().stream().mapToInt(worker -> worker.runs().size()).sum();
    }
}
