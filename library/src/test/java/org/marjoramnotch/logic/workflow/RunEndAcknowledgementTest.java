package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/**
 * Lets lists, commits, rejections, lapses, new lives of workers and changes of leader come in
 * random orders. No acknowledged number may reach a {@code done} end that could be lost.
 */
class RunEndAcknowledgementTest {
    private static final int WORKERS = 3;
    private static final int ROUNDS = 60;
    private static final long CALM_MILLISECONDS = 8_000;

    private AcknowledgementCell cell = new AcknowledgementCell(0);
    private UniformRandomProvider random = cell.random;

    /** Returns the seeds; a system property selects more of them for a search. */
    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("acknowledgement.seeds", 24));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void endIsAcknowledgedOnlyOnceItCannotBeLost(long seed) {
        useCell(seed);
        play();
    }

    // A run of the next life was given up by its predecessor's lease.
    @ParameterizedTest
    @ValueSource(longs = {27, 36, 158, 636, 1_245})
    void nextLifeThatCarriesOutCallsForTheEarlierOneRunsNothingTwice(long seed) {
        useCell(seed);
        cell.nextLifeCarriesOutCalls = true;
        play();
    }

    // A lease by the clock of an earlier life lasted longer than the leader counted.
    @ParameterizedTest
    @ValueSource(longs = {350, 534, 748, 873, 965})
    void leaseByTheClockOfAnEarlierLifeIsOutlasted(long seed) {
        useCell(seed);
        cell.nextLifeCarriesOutCalls = true;
        play();
    }

    // A list counted as later than the answer to a start of the same millisecond.
    @ParameterizedTest
    @ValueSource(longs = {10, 36, 57, 192})
    void endIsAcknowledgedOnlyOnceItCannotBeLostIfAnswersComeWithinMillisecond(long seed) {
        useCell(seed);
        cell.exchangesPerMillisecond = 4;
        play();
    }

    private void useCell(long seed) {
        cell = new AcknowledgementCell(seed);
        random = cell.random;
    }

    private void play() {
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(50);
        for (int worker = 0; worker < WORKERS; worker++) {
            cell.startWorker(worker(worker));
        }
        cell.run(200);
        cell.loseCalls(random.nextInt(3) * 0.02);
        for (int round = 0; round < ROUNDS; round++) {
            String id = "%016x".formatted(round + 1);
            cell.request(new SubmitWorkflowRequest(TestFleet.target(id), draft()));
            cell.run(random.nextInt(300));
            disturb(id);
            cell.run(random.nextInt(100));
        }
        cell.loseCalls(0);
        cell.run(CALM_MILLISECONDS);
        assertThat(cell.ends.acknowledgedDone()).isPositive();
    }

    private void disturb(String workflow) {
        WorkerId worker = worker(random.nextInt(WORKERS));
        switch (random.nextInt(12)) {
            case 0, 1 -> cell.changeLeader(random.nextInt(800));
            case 2, 3 -> cell.stallCommits(random.nextInt(1_500));
            case 4, 5 -> cell.holdCalls(random.nextInt(1_500));
            case 6 -> cell.cutOff(worker, 300 + random.nextInt(5_000));
            case 7 -> cell.startWorker(worker);
            case 8 -> cell.rejectStart(worker);
            case 9 -> cell.request(new CancelWorkflowRequest(TestFleet.target(workflow)));
            default -> cell.run(random.nextInt(100));
        }
    }

    private WorkflowDraft draft() {
        int estimate = 20 + random.nextInt(400);
        StepDefinition first = step(estimate, List.of());
        List<StepDefinition> steps =
                random.nextBoolean() ? List.of(first) : List.of(first, step(estimate, List.of(0)));
        return new WorkflowDraft("payload", steps, Optional.empty());
    }

    private StepDefinition step(long estimate, List<Integer> after) {
        return StepDefinition.builder()
                .tasks(2 + random.nextInt(2))
                .gang(random.nextInt(4) == 0)
                .demand(new Resources(1_000, 100, 0))
                .estimateMilliseconds(estimate)
                .after(after)
                .build();
    }

    private static WorkerId worker(int number) {
        return new WorkerId("w-" + number);
    }
}
