package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowState;

/** Guards against failures of gang members in one run that count more than once, or not at all. */
class LateGangFailureTest extends LateFailureTestCase {
    static Stream<Arguments> gangHistories() {
        BiConsumer<LateFailureTestCase, FleetWorker> firstThenSecond =
                (test, lister) ->
                        runs(1, 2)
                                .forEach(
                                        run ->
                                                end(
                                                        test.ledger,
                                                        lister,
                                                        List.of(run),
                                                        RunOutcome.FAILED));
        BiConsumer<LateFailureTestCase, FleetWorker> bothAtOnce =
                (test, lister) -> end(test.ledger, lister, runs(1, 2), RunOutcome.FAILED);
        BiConsumer<LateFailureTestCase, FleetWorker> withSnapshots =
                (test, lister) -> {
                    end(test.ledger, lister, runs(1, 1), RunOutcome.FAILED);
                    test.restoreFromSnapshot();
                    end(test.ledger, lister, runs(1, 2), RunOutcome.FAILED);
                };
        return Stream.of(
                Arguments.of("one after the other", firstThenSecond),
                Arguments.of("at once", bothAtOnce),
                Arguments.of("with a snapshot between", withSnapshots));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("gangHistories")
    void failuresOfGangMembersInOneRunCountOnce(
            String order, BiConsumer<LateFailureTestCase, FleetWorker> listing) {
        submit(StepDefinition.builder().tasks(2).gang(true));
        start(FIRST, 1, 2);
        GivenUp.NEXT_LIFE.apply(ledger, runs(1, 2));
        start(OTHER, 2, 2);
        listing.accept(this, NEXT);
        assertThat(state()).isEqualTo(WorkflowState.RUNNING);
        end(ledger, OTHER, runs(2, 2), RunOutcome.FAILED);
        assertThat(state()).isEqualTo(WorkflowState.FAILED);
    }

    @Test
    void failureOfGangMemberCountsOnceIfAnotherOneIsGivenUpLater() {
        submit(StepDefinition.builder().tasks(2).gang(true));
        ledger.apply(
                new StartRuns(
                        List.of(
                                new RunPlacement(runs(1, 2).get(0), OTHER.incarnation(), ""),
                                new RunPlacement(runs(1, 2).get(1), FIRST.incarnation(), ""))));
        end(ledger, OTHER, runs(1, 1), RunOutcome.FAILED);
        GivenUp.NEXT_LIFE.apply(ledger, runs(1, 2));
        end(ledger, NEXT, runs(1, 2), RunOutcome.FAILED);
        assertThat(state()).isEqualTo(WorkflowState.RUNNING);
    }
}
