package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.StartRun;
import org.marjoramnotch.model.order.StopRun;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;

/** A worker carries out a list call before an order that was sent earlier. */
class OvertakingListTest extends WorkerSessionTestCase {
    private static final long SENT_AT = 20;
    private static final RunId RUN = new RunId(TASK, 1);

    @BeforeEach
    void startRunOnListedWorker() {
        answerList(List.of());
        RunPlacement placement = new RunPlacement(RUN, worker.incarnation(), "");
        startWorkflow(placement);
        session.start(SENT_AT, placement, Optional.empty(), output);
        session.tick(SENT_AT, output);
    }

    private <T extends WorkerCall> T take(Class<T> kind) {
        WorkerCall call = calls.stream().filter(kind::isInstance).findFirst().orElseThrow();
        calls.remove(call);
        return kind.cast(call);
    }

    private void accept(long now, WorkerCall call) {
        session.onOutcome(
                now,
                call,
                SENT_AT,
                new CallOutcome.Accepted(call.id(), OptionalLong.of(now)),
                output);
    }

    private void answerEmptyList(long now, long sentAt, ListRuns list) {
        session.onOutcome(
                now,
                list,
                sentAt,
                new CallOutcome.Listed(list.id(), now, OptionalLong.of(1), List.of(), List.of()),
                output);
    }

    // A run at work was started again elsewhere, since its answer came in the same millisecond.
    @ParameterizedTest
    @ValueSource(longs = {0, 1, 3})
    void runIsKeptIfListWasSentBeforeStartWasAnswered(long answerMilliseconds) {
        StartRun start = take(StartRun.class);
        ListRuns list = take(ListRuns.class);
        accept(SENT_AT + answerMilliseconds, start);
        answerEmptyList(SENT_AT + answerMilliseconds, SENT_AT, list);
        assertThat(proposals).noneMatch(EndRuns.class::isInstance);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 3})
    void runIsKeptIfListWasSentBeforeStopWasAnswered(long answerMilliseconds) {
        accept(SENT_AT, take(StartRun.class));
        answerEmptyList(SENT_AT - 1, SENT_AT - 1, take(ListRuns.class));
        session.stop(SENT_AT, RUN, output);
        session.tick(SENT_AT, output);
        StopRun stop = take(StopRun.class);
        ListRuns list = take(ListRuns.class);
        accept(SENT_AT + answerMilliseconds, stop);
        answerEmptyList(SENT_AT + answerMilliseconds, SENT_AT, list);
        assertThat(proposals).noneMatch(EndRuns.class::isInstance);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 3})
    void runIsGivenUpIfListWasSentAfterStartWasAnswered(long listDelayMilliseconds) {
        answerEmptyList(SENT_AT, SENT_AT, take(ListRuns.class));
        accept(SENT_AT, take(StartRun.class));
        long sentAt = SENT_AT + listDelayMilliseconds;
        session.tick(sentAt, output);
        answerEmptyList(sentAt, sentAt, take(ListRuns.class));
        assertThat(proposals)
                .containsExactly(
                        new EndRuns(
                                worker.incarnation(),
                                List.of(new RunEnd(RUN, RunOutcome.NOT_STARTED, ""))));
    }
}
