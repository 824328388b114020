package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.RejectionReason;
import org.marjoramnotch.model.order.RunEndReport;
import org.marjoramnotch.model.order.StartRun;
import org.marjoramnotch.model.order.StopRun;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.NextLifeEvidence;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;

class IncarnationStateTest extends WorkerSessionTestCase {
    private WorkerCall sendOrder(Class<? extends WorkerCall> kind) {
        answerList(List.of());
        RunPlacement placement = new RunPlacement(new RunId(TASK, 1), worker.incarnation(), "");
        startWorkflow(placement);
        session.start(20, placement, Optional.empty(), output);
        if (kind == StopRun.class) {
            WorkerCall start = calls.remove(0);
            session.onOutcome(
                    25,
                    start,
                    20,
                    new CallOutcome.Accepted(start.id(), OptionalLong.of(25)),
                    output);
            session.stop(30, placement.run(), output);
        }
        return calls.stream().filter(kind::isInstance).findFirst().orElseThrow();
    }

    /** Guards against an order that stays in flight, so that its worker is never dismissed. */
    @ParameterizedTest
    @MethodSource("refusedOrders")
    void refusedOrderIsNotInFlight(Class<? extends WorkerCall> kind, RejectionReason reason) {
        WorkerCall order = sendOrder(kind);
        assertThat(session.hasOrdersInFlight()).isTrue();
        session.onOutcome(
                40,
                order,
                30,
                new CallOutcome.Rejected(order.id(), OptionalLong.empty(), reason),
                output);
        assertThat(session.hasOrdersInFlight()).isFalse();
    }

    static Stream<Arguments> refusedOrders() {
        return Stream.of(StartRun.class, StopRun.class)
                .flatMap(
                        kind ->
                                Stream.of(RejectionReason.OTHER_INCARNATION, RejectionReason.FENCED)
                                        .map(reason -> Arguments.of(kind, reason)));
    }

    @Test
    void refusalByWorkerWithAnotherNameShowsThatNothingWasStarted() {
        WorkerCall order = sendOrder(StartRun.class);
        session.onOutcome(
                40,
                order,
                30,
                new CallOutcome.Rejected(
                        order.id(), OptionalLong.empty(), RejectionReason.OTHER_INCARNATION),
                output);
        assertThat(session.isReplaced()).isTrue();
        assertThat(session.nextLifeEvidence())
                .isEqualTo(new NextLifeEvidence(List.of(), List.of(), true));
    }

    /** Sends a start; then the next incarnation answers the list. */
    private void replaceIncarnation() {
        sendOrder(StartRun.class);
        session.tick(40, output);
        ListRuns list =
                calls.stream()
                        .filter(ListRuns.class::isInstance)
                        .map(ListRuns.class::cast)
                        .findFirst()
                        .orElseThrow();
        session.onOutcome(
                50,
                list,
                40,
                new CallOutcome.Listed(list.id(), 0, OptionalLong.of(2), List.of(), List.of()),
                output);
    }

    /** The next incarnation under the same name may have received the start. */
    @Test
    void listOfNextIncarnationDoesNotShowThatNothingWasStarted() {
        replaceIncarnation();
        assertThat(session.isReplaced()).isTrue();
        assertThat(session.nextLifeEvidence())
                .isEqualTo(new NextLifeEvidence(List.of(TASK), List.of(), true));
    }

    // The next incarnation carried out a start that was committed for the earlier one.
    @Test
    void noStartIsSentOnceTheNextIncarnationHasAnswered() {
        replaceIncarnation();
        calls.clear();
        RunPlacement placement = new RunPlacement(new RunId(TASK, 2), worker.incarnation(), "");
        session.start(60, placement, Optional.empty(), output);
        assertThat(calls).isEmpty();
    }

    private ListRuns nextList(long now) {
        session.tick(now, output);
        ListRuns list = (ListRuns) calls.get(calls.size() - 1);
        calls.clear();
        return list;
    }

    /**
     * Guards against ends that the next incarnation forgets, since they are acknowledged by a
     * number of the earlier one: a worker that left a call unanswered may have restarted.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void endsAreAcknowledgedOnlyToWorkerThatHasNotRestarted(boolean refused) {
        ListRuns first = (ListRuns) calls.remove(0);
        RunEndReport end = new RunEndReport(5, new RunEnd(new RunId(TASK, 1), RunOutcome.DONE, ""));
        session.onOutcome(
                10,
                first,
                0,
                new CallOutcome.Listed(first.id(), 0, OptionalLong.of(1), List.of(), List.of(end)),
                output);
        ListRuns acknowledging = nextList(1_100);
        assertThat(acknowledging.acknowledgedEnds()).isEqualTo(5);
        session.onOutcome(
                1_500,
                acknowledging,
                1_100,
                refused
                        ? new CallOutcome.ConnectionRefused(acknowledging.id())
                        : new CallOutcome.Unanswered(acknowledging.id()),
                output);
        ListRuns confirming = nextList(2_600);
        assertThat(confirming.acknowledgedEnds()).isZero();
        assertThat(confirming.waitMilliseconds()).isZero();
        session.onOutcome(
                2_610,
                confirming,
                2_600,
                new CallOutcome.Listed(
                        confirming.id(), 2_600, OptionalLong.of(1), List.of(), List.of(end)),
                output);
        assertThat(nextList(2_620).acknowledgedEnds()).isEqualTo(5);
    }

    @Test
    void endsOfWorkerThatWasNotAskedForLongAreNotAcknowledgedAtOnce() {
        ListRuns first = (ListRuns) calls.remove(0);
        RunEndReport end = new RunEndReport(5, new RunEnd(new RunId(TASK, 1), RunOutcome.DONE, ""));
        session.onOutcome(
                10,
                first,
                0,
                new CallOutcome.Listed(first.id(), 0, OptionalLong.of(1), List.of(), List.of(end)),
                output);
        assertThat(nextList(3_000).acknowledgedEnds()).isZero();
    }
}
