package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.ReplaceConfiguration;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.command.SubmitWorkflow;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.RejectionReason;
import org.marjoramnotch.model.order.RunEndReport;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.order.StartRun;
import org.marjoramnotch.model.order.StopRun;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

class WorkerSessionTest {
    private static final long LEASE_OVER = 8_000;
    private static final WorkflowTaskId TASK =
            new WorkflowTaskId(new StepId(new JobId("0123456789abcdef"), 0, 0), 0);

    private final FleetWorker worker =
            new FleetWorker(
                    new WorkerIncarnation(new WorkerId("w-1"), 1),
                    WorkflowCell.POOL,
                    "10.0.0.1:80",
                    new AvailabilityZone("zone"),
                    new Resources(8_000, 16_000, 0),
                    List.of("a", "rack-1"),
                    false);
    private final List<WorkerCall> calls = new ArrayList<>();
    private final List<Command> proposals = new ArrayList<>();
    private final LeaderOutput output =
            new LeaderOutput() {
                @Override
                public void propose(Command command) {
                    proposals.add(command);
                }

                @Override
                public void reply(RequestHandle handle, CellReply reply) {}

                @Override
                public void call(WorkerCall call) {
                    calls.add(call);
                }
            };
    private final WorkflowLedger ledger = new WorkflowLedger();
    private WorkerSession session;

    @BeforeEach
    void openSession() {
        ledger.apply(new EnrollWorker(worker));
        session =
                new WorkerSession(
                        WorkflowSettings.defaults(),
                        ledger,
                        new CallRegistry(1),
                        new FirstListLimiter(),
                        1,
                        worker,
                        0);
        session.tick(0, output);
    }

    private void answerList(List<RunStatus> statuses) {
        ListRuns list = (ListRuns) calls.remove(0);
        session.onOutcome(
                10,
                list,
                0,
                new CallOutcome.Listed(list.id(), 0, OptionalLong.of(1), statuses, List.of()),
                output);
    }

    private void startWorkflow(RunPlacement placement) {
        ledger.apply(new ReplaceConfiguration(TestFleet.configuration(1)));
        ledger.apply(
                new SubmitWorkflow(
                        new Workflow(
                                TASK.step().workflow(),
                                new QueueName("quick"),
                                Optional.empty(),
                                "payload",
                                TestFleet.draft(1, 1_000).steps(),
                                Optional.empty(),
                                0)));
        ledger.apply(new StartRuns(List.of(placement)));
    }

    private Set<WorkflowTaskId> unknownTasks() {
        Set<WorkflowTaskId> tasks = new HashSet<>();
        session.addUnknownTasks(tasks);
        return tasks;
    }

    /** Leaves all calls unanswered until the lease is over. */
    private void leaveAllUnanswered() {
        answerAll(call -> new CallOutcome.Unanswered(call.id()));
    }

    private void answerAll(Function<WorkerCall, CallOutcome> outcome) {
        for (long now = 10; now < LEASE_OVER; now += 50) {
            session.tick(now, output);
            for (WorkerCall call : List.copyOf(calls)) {
                session.onOutcome(now, call, now, outcome.apply(call), output);
            }
            calls.clear();
        }
    }

    @Test
    void runsOfWorkerThatRejectsListsLapseAfterTheLease() {
        RunId run = new RunId(TASK, 1);
        startWorkflow(new RunPlacement(run, worker.incarnation(), ""));
        answerList(List.of(new RunStatus(run, "", 10, -1)));
        answerAll(
                call ->
                        new CallOutcome.Rejected(
                                call.id(), OptionalLong.empty(), RejectionReason.UNHEALTHY));
        assertThat(proposals)
                .contains(
                        new EndRuns(
                                worker.incarnation(),
                                List.of(new RunEnd(run, RunOutcome.LAPSED, ""))));
    }

    @Test
    void unknownRunOfUnresponsiveWorkerBlocksItsTaskOnlyDuringTheLease() {
        answerList(List.of(new RunStatus(new RunId(TASK, 3), "", 10, -1)));
        assertThat(unknownTasks()).containsExactly(TASK);
        leaveAllUnanswered();
        assertThat(unknownTasks()).isEmpty();
    }

    @Test
    void ordersAboutUnknownRunOfUnresponsiveWorkerEndWithTheLease() {
        answerList(List.of(new RunStatus(new RunId(TASK, 3), "", 10, -1)));
        leaveAllUnanswered();
        session.tick(LEASE_OVER + 100, output);
        assertThat(calls).noneMatch(StopRun.class::isInstance);
    }

    @Test
    void startPossiblyAnsweredByNextIncarnationIsUnsettled() {
        answerList(List.of());
        RunPlacement placement = new RunPlacement(new RunId(TASK, 1), worker.incarnation(), "");
        startWorkflow(placement);
        session.start(20, placement, Optional.empty(), output);
        WorkerCall start = calls.remove(0);
        session.onOutcome(
                30, start, 20, new CallOutcome.Accepted(start.id(), OptionalLong.of(30)), output);
        assertThat(session.possiblyStartedTasks()).containsExactly(TASK);
    }

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
        assertThat(session.possiblyStartedTasks()).isEmpty();
    }

    /** The next incarnation under the same name may have received the start. */
    @Test
    void listOfNextIncarnationDoesNotShowThatNothingWasStarted() {
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
        assertThat(session.isReplaced()).isTrue();
        assertThat(session.possiblyStartedTasks()).containsExactly(TASK);
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
