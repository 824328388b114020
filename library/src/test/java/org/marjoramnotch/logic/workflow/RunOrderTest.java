package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

class RunOrderTest {
    private final RunOrder order =
            new RunOrder(
                    new RunPlacement(
                            new RunId(
                                    new WorkflowTaskId(
                                            new StepId(new JobId("0123456789abcdef"), 0, 0), 0),
                                    1),
                            new WorkerIncarnation(new WorkerId("w-1"), 1),
                            ""),
                    Optional.empty());

    @Test
    void lostStopIsSentAgainAfterStartWasAnswered() {
        order.onStartSent(10, 1, 5_000);
        order.requestStop();
        order.onStopSent();
        order.onStartAnswered(2);
        order.onStopUnanswered(450);
        assertThat(order.isStopDue(450)).isTrue();
    }

    // A later copy with a shorter lease made the run count as not started too early.
    @Test
    void startIsNotExpiredWhileAnyCopyCanBeExecuted() {
        order.onStartSent(10, 1, 9_010);
        order.onStartUnanswered(260);
        order.onStartSent(470, 2, 7_480);
        order.onStartUnanswered(700);
        order.requestStop();
        assertThat(order.isStartExpired(9_010)).isFalse();
        assertThat(order.isStartExpired(9_011)).isTrue();
    }

    // Starts of runs that were at work were stopped when an overloaded leader handled answers late.
    @Test
    void startIsGivenUpOnlyIfListDoesNotShowItsRun() {
        order.onStartSent(10, 2, 5_000);
        order.onStartUnanswered(260);
        order.onAbsent(1);
        assertThat(order.isStartGivenUp(60_000)).isFalse();
        order.onAbsent(3);
        assertThat(order.isStartGivenUp(1_509)).isFalse();
        assertThat(order.isStartGivenUp(1_510)).isTrue();
        order.onListed(4);
        assertThat(order.isStartGivenUp(60_000)).isFalse();
    }

    @Test
    void answeredStopIsNotSentAgainAfterStartWasAnswered() {
        order.onStartSent(10, 1, 5_000);
        order.requestStop();
        order.onStopSent();
        order.onStopAnswered(2);
        order.onStartAnswered(3);
        assertThat(order.isStopDue(450)).isFalse();
        assertThat(order.isVisibleInListOf(2)).isFalse();
        assertThat(order.isVisibleInListOf(3)).isTrue();
    }
}
