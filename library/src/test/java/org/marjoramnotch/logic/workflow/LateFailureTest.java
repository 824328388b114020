package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowState;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * Guards against a run beyond the failures that the queue allows, and against a failure that counts
 * twice.
 */
class LateFailureTest extends LateFailureTestCase {
    /** What became of the second run when the end of the first one is listed. */
    private enum SecondRun {
        NOT_BEGUN(0) {
            @Override
            void play(LateFailureTest test, int tasks) {}
        },
        AT_WORK(0) {
            @Override
            void play(LateFailureTest test, int tasks) {
                test.start(OTHER, 2, tasks);
            }
        },
        FAILED(1) {
            @Override
            void play(LateFailureTest test, int tasks) {
                test.start(OTHER, 2, tasks);
                end(test.ledger, OTHER, runs(2, tasks), RunOutcome.FAILED);
            }
        };

        private final int failures;

        SecondRun(int failures) {
            this.failures = failures;
        }

        abstract void play(LateFailureTest test, int tasks);
    }

    private int failures(int task) {
        return ledger.workflow(ID)
                .flatMap(entry -> entry.task(new WorkflowTaskId(STEP, task)))
                .map(TaskState::failures)
                .orElse(MOST_FAILURES);
    }

    static Stream<Arguments> histories() {
        List<Arguments> histories = new ArrayList<>();
        for (GivenUp givenUp : GivenUp.values()) {
            for (SecondRun second : SecondRun.values()) {
                histories.add(Arguments.of(givenUp, second, false));
                histories.add(Arguments.of(givenUp, second, true));
            }
        }
        return histories.stream();
    }

    @ParameterizedTest(name = "{0}, second run {1}, snapshot {2}")
    @MethodSource("histories")
    void failureCountsOnceWhoeverListsItAndWhenever(
            GivenUp givenUp, SecondRun second, boolean snapshot) {
        submit(StepDefinition.builder());
        start(FIRST, 1, 1);
        givenUp.apply(ledger, runs(1, 1));
        second.play(this, 1);
        if (snapshot) {
            restoreFromSnapshot();
        }
        end(ledger, givenUp.lister(), runs(1, 1), RunOutcome.FAILED);
        int expected = second.failures + (givenUp.counts ? 1 : 0);
        assertThat(failures(0)).isEqualTo(expected);
        assertThat(state() == WorkflowState.FAILED).isEqualTo(expected == MOST_FAILURES);

        if (snapshot) {
            restoreFromSnapshot();
        }
        end(ledger, givenUp.lister(), runs(1, 1), RunOutcome.FAILED);
        assertThat(failures(0)).isEqualTo(expected);
    }

    @ParameterizedTest
    @MethodSource("givenUpStandingTasks")
    void standingTaskFailsWithoutLimit(GivenUp givenUp) {
        submit(StepDefinition.builder().standing(true));
        start(FIRST, 1, 1);
        givenUp.apply(ledger, runs(1, 1));
        end(ledger, givenUp.lister(), runs(1, 1), RunOutcome.FAILED);
        for (long run = 2; run <= 2 * MOST_FAILURES; run++) {
            start(OTHER, run, 1);
            end(ledger, OTHER, runs(run, 1), RunOutcome.FAILED);
        }
        assertThat(state()).isEqualTo(WorkflowState.RUNNING);
    }

    static Stream<GivenUp> givenUpStandingTasks() {
        return Stream.of(GivenUp.values());
    }

    /** The run that is at work when the last failure is listed ends with the failed workflow. */
    @Test
    void runAtWorkIsKnownUntilItHasStopped() {
        submit(StepDefinition.builder());
        start(FIRST, 1, 1);
        GivenUp.NEXT_LIFE.apply(ledger, runs(1, 1));
        start(OTHER, 2, 1);
        end(ledger, OTHER, runs(2, 1), RunOutcome.FAILED);
        start(OTHER, 3, 1);
        end(ledger, NEXT, runs(1, 1), RunOutcome.FAILED);
        assertThat(state()).isEqualTo(WorkflowState.FAILED);
        assertThat(ledger.worker(OTHER.id()).orElseThrow().runs()).hasSize(1);
        end(ledger, OTHER, runs(3, 1), RunOutcome.STOPPED);
        assertThat(ledger.worker(OTHER.id()).orElseThrow().runs()).isEmpty();
    }
}
