package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/** Guards against tasks that wait although workers that may run them have free capacity. */
class AdviceStarvationTest {
    private static final String ID = "0123456789abcdef";
    private static final AdviceTiming TIMING = new AdviceTiming(400, 6, 2_500);

    /** Time for a question that names the maximum number of workers, including its transit time. */
    private static final long ONE_QUESTION_MILLISECONDS = 400 + 6 * 100 + 300;

    /** Time for two such questions in sequence. */
    private static final long TWO_QUESTIONS_MILLISECONDS = 2 * ONE_QUESTION_MILLISECONDS;

    private final WorkflowCell cell = new WorkflowCell(5);
    private ReplayAdvisor advisor = new ReplayAdvisor(cell, Map.of(), 0);

    private void start(double grantedShare, StepDefinition step) {
        new SimulatedGangs(cell);
        cell.answerListsPromptly();
        cell.request(
                new ApplyConfiguration(
                        TestFleet.configuration(1, Resources.NONE, Optional.of(TIMING))));
        cell.run(100);
        for (int index = 0; index < 246; index++) {
            cell.addWorker("w-" + index, new Resources(64_000, 128_000, 0));
        }
        cell.workers.values().forEach(worker -> worker.useRunTimes(ignored -> 60_000));
        cell.run(2_000);
        advisor =
                new ReplayAdvisor(
                        cell,
                        Map.of("quick", new ReplayAdvisor.QueueAdvice(TIMING, grantedShare)),
                        11);
        advisor.addDaemons(39);
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target(ID),
                        new WorkflowDraft("payload", List.of(step), Optional.empty())));
    }

    private void run(long milliseconds) {
        long end = cell.now() + milliseconds;
        while (cell.now() < end) {
            cell.run(5);
            advisor.advance();
        }
    }

    private int running() {
        return cell.workers.values().stream().mapToInt(worker -> worker.live().size()).sum();
    }

    private static StepDefinition.Builder step(int tasks, long processorMillis) {
        return StepDefinition.builder()
                .tasks(tasks)
                .demand(new Resources(processorMillis, 1_000, 0))
                .estimateMilliseconds(60_000);
    }

    @Test
    void standingTasksBeyondSpreadLimitDoNotWaitForTicketsToExpire() {
        start(0.35, step(60, 18_000).standing(true).mostPerWorker(1).build());
        run(TWO_QUESTIONS_MILLISECONDS);
        assertThat(running()).isEqualTo(60);
    }

    @Test
    void gangWithFewGrantedWorkersDoesNotWaitForTicketsToExpire() {
        start(0.1, step(13, 40_000).gang(true).build());
        run(TWO_QUESTIONS_MILLISECONDS);
        assertThat(running()).isEqualTo(13);
    }

    @Test
    void stepWithOnlyOneGrantedWorkerStarts() {
        start(0.01, step(1, 18_000).standing(true).build());
        cell.run(50);
        long grants =
                cell.workers.keySet().stream()
                        .filter(worker -> advisor.grants(step0(), worker))
                        .count();
        assertThat(grants).isPositive();
        run(6_000);
        assertThat(running()).isEqualTo(1);
    }

    @Test
    void rejectedStartDoesNotDelayOtherTasks() {
        start(1, step(40, 18_000).build());
        cell.workers.values().stream().limit(60).forEach(worker -> worker.rejectStarts(1));
        run(ONE_QUESTION_MILLISECONDS);
        assertThat(running()).isEqualTo(40);
    }

    @Test
    void questionOfStoppedDaemonDoesNotBlockTheStep() {
        start(0.35, step(20, 18_000).build());
        run(200);
        for (int daemon = 0; daemon < 38; daemon++) {
            advisor.stopDaemon(daemon);
        }
        run(8_000);
        assertThat(running()).isEqualTo(20);
    }

    private static StepId step0() {
        return new StepId(new JobId(ID), 0, 0);
    }
}
