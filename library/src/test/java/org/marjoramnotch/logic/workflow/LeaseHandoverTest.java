package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/** Changes the leader while a worker that holds a lease is cut off. */
class LeaseHandoverTest {
    private static final Resources CAPACITY = new Resources(8_000, 16_000, 0);
    private static final WorkerId CUT_OFF = new WorkerId("w-1");
    private static final int TASKS = 3;

    /** The lease of the cell, at the rate of the slowest clock, and the next round of starts. */
    private static final long LEASE_BOUND_MILLISECONDS = 4_000;

    private WorkflowCell cell = new WorkflowCell(1);

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 24);
    }

    private void start(long seed, long idleMilliseconds) {
        cell = new WorkflowCell(seed);
        cell.answerListsPromptly();
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(100);
        cell.addWorker(CUT_OFF.value(), CAPACITY);
        cell.run(1_000 + idleMilliseconds);
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(TASKS)
                        .demand(new Resources(1_000, 100, 0))
                        .estimateMilliseconds(600_000)
                        .standing(true)
                        .build();
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target("0123456789abcdef"),
                        new WorkflowDraft("payload", List.of(step), Optional.empty())));
        cell.run(300);
        assertThat(running()).isEqualTo(TASKS);
    }

    private int running() {
        return cell.workers.values().stream().mapToInt(worker -> worker.live().size()).sum();
    }

    private void changeLeaderWhileCutOff() {
        cell.cutOff(CUT_OFF, true);
        cell.run(cell.random().nextInt(600));
        cell.changeLeader();
        cell.run(LEASE_BOUND_MILLISECONDS);
        assertThat(running()).isEqualTo(TASKS);
    }

    /** Guards against a run by the next leader before leases of the earlier one are over. */
    @ParameterizedTest
    @MethodSource("seeds")
    void nextLeaderStartsNoSecondRun(long seed) {
        start(seed, 0);
        List.of("w-2", "w-3").forEach(name -> cell.addWorker(name, CAPACITY));
        cell.run(4_000 + cell.random().nextInt(4_000));
        changeLeaderWhileCutOff();
    }

    /** The reading of the clock of an idle worker is old. */
    @ParameterizedTest
    @MethodSource("seeds")
    void nextLeaderStartsNoSecondRunOfWorkerThatWasIdle(long seed) {
        start(seed, 100_000);
        List.of("w-2", "w-3").forEach(name -> cell.addWorker(name, CAPACITY));
        changeLeaderWhileCutOff();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void runsOfWorkerThatWasIdleForMinutesDoNotLapse(long seed) {
        start(seed, 240_000 + cell.random().nextInt(60_000));
        cell.run(10_000);
        assertThat(cell.decisionLog)
                .noneMatch(logEntry -> logEntry.event().equals("order_rejected"))
                .noneMatch(logEntry -> logEntry.event().equals("run_ended"));
    }
}
