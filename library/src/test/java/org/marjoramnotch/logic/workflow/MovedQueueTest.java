package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramnotch.logic.workflow.TwoPoolFleet.LARGE;
import static org.marjoramnotch.logic.workflow.TwoPoolFleet.NO_ROOM;
import static org.marjoramnotch.logic.workflow.TwoPoolFleet.step;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.Recurrence;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowState;

/** Accepted work whose queue is sent to a pool of smaller workers. */
class MovedQueueTest {
    private static final String ID = "0123456789abcdef";

    private final TwoPoolFleet fleet = new TwoPoolFleet(13);

    private void submit(StepDefinition.Builder... steps) {
        fleet.submit(
                ID, Optional.empty(), Stream.of(steps).map(StepDefinition.Builder::build).toList());
    }

    private void submitChain(long lastProcessorMillis) {
        submit(
                step(1_000).estimateMilliseconds(4_000),
                step(lastProcessorMillis).after(List.of(0)));
    }

    /** Guards against the failure of steps that have not begun when their queue is sent away. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void workWhoseQueueIsSentAwayAndBackIsDone(boolean restart) {
        submitChain(33_000);
        fleet.sendAway(NO_ROOM);
        for (int round = 0; round < 3; round++) {
            fleet.cell.run(3_000);
            if (restart) {
                fleet.cell.restartFromSnapshot();
            }
            assertThat(fleet.state(ID)).isNotEqualTo(WorkflowState.FAILED);
        }
        fleet.sendBack();
        assertThat(fleet.completes(ID, 8_000)).isTrue();
    }

    /** Guards against work that waits for ever although the pool of its acceptance could run it. */
    @Test
    void workWhoseQueueIsSentAwayForGoodRunsInThePoolOfItsAcceptance() {
        submitChain(33_000);
        fleet.sendAway(Resources.NONE);
        assertThat(fleet.completes(ID, 10_000)).isTrue();
    }

    @Test
    void stepThatTheNewPoolCanHoldRunsThere() {
        submitChain(9_000);
        fleet.sendAway(Resources.NONE);
        fleet.removeLarge();
        assertThat(fleet.completes(ID, 14_000)).isTrue();
    }

    /** Guards against the loss of what was possible at acceptance when its pool is dropped. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void workWaitsWhileThePoolOfItsAcceptanceIsDropped(boolean restart) {
        fleet.limit(NO_ROOM);
        submit(step(33_000));
        fleet.removeLarge();
        fleet.cell.run(4_000);
        fleet.sendAwayAndDropPool();
        fleet.cell.run(20_000);
        if (restart) {
            fleet.cell.restartFromSnapshot();
        }
        fleet.cell.run(20_000);
        assertThat(fleet.state(ID)).isEqualTo(WorkflowState.QUEUED);
        fleet.sendBack();
        fleet.addLarge();
        assertThat(fleet.completes(ID, 10_000)).isTrue();
    }

    /** Guards against a lost run that gets no other one as only a former pool can hold it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void runThatIsLostAfterTheMoveStartsAgainInTheFormerPool(boolean gang) {
        submit(step(33_000).tasks(2).gang(gang).estimateMilliseconds(6_000));
        fleet.sendAway(Resources.NONE);
        fleet.remove("large-1");
        fleet.cell.run(1_000);
        assertThat(fleet.state(ID)).isEqualTo(WorkflowState.RUNNING);
        fleet.addWorker("large-3", WorkflowCell.POOL, LARGE);
        assertThat(fleet.completes(ID, 25_000)).isTrue();
    }

    @Test
    void gangRunsWhereAllItsMembersFit() {
        submit(
                step(1_000).estimateMilliseconds(4_000),
                step(15_000).tasks(3).gang(true).after(List.of(0)));
        fleet.sendAway(Resources.NONE);
        assertThat(fleet.completes(ID, 10_000)).isTrue();
    }

    /** Guards against the failure of work in a pool whose large workers start after others. */
    @Test
    void workWaitsForTheLargeWorkersOfItsNewPool() {
        fleet.sendAway(Resources.NONE);
        submit(step(33_000));
        fleet.cell.run(8_000);
        fleet.addWorker("large-3", TestFleet.OTHER_POOL, LARGE);
        assertThat(fleet.completes(ID, 8_000)).isTrue();
    }

    @Test
    void laterOccurrenceRunsInTheFormerPool() {
        long firstDue = WorkflowCell.EPOCH + fleet.cell.now();
        fleet.submit(
                ID, Optional.of(new Recurrence(2, firstDue, 9_000)), List.of(step(33_000).build()));
        fleet.cell.run(3_000);
        fleet.sendAway(Resources.NONE);
        assertThat(fleet.completes(ID, 14_000)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"65000, true", "65000, false", "100000000, true"})
    void workBeyondAllPoolsFails(long processorMillis, boolean restart) {
        submit(step(processorMillis));
        if (restart) {
            fleet.cell.restartFromSnapshot();
        }
        fleet.cell.run(6_000);
        assertThat(fleet.state(ID)).isEqualTo(WorkflowState.FAILED);
    }

    /** Guards against hopeless work that waits as long as its queue goes to and fro. */
    @Test
    void workBeyondAllPoolsFailsWhileItsQueueMoves() {
        submit(step(65_000));
        fleet.sendAway(Resources.NONE);
        fleet.cell.run(2_000);
        fleet.sendBack();
        fleet.cell.run(4_000);
        assertThat(fleet.state(ID)).isEqualTo(WorkflowState.FAILED);
    }

    @Test
    void workBeyondEveryLimitDoesNotWaitForWorkers() {
        TwoPoolFleet limited = new TwoPoolFleet(13, TwoPoolFleet.SMALL);
        limited.sendAway(TwoPoolFleet.SMALL);
        StepDefinition gang = step(16_000).tasks(2).gang(true).build();
        limited.submit(ID, Optional.empty(), List.of(gang));
        limited.cell.run(6_000);
        assertThat(limited.state(ID)).isEqualTo(WorkflowState.FAILED);
    }

    @Test
    void workBeyondAllPoolsFailsOnceItsNewPoolHadTimeToStart() {
        fleet.sendAway(Resources.NONE);
        submit(step(65_000));
        fleet.cell.run(17_000);
        assertThat(fleet.state(ID)).isEqualTo(WorkflowState.FAILED);
    }
}
