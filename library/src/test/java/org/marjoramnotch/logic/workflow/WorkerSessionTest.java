package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.RejectionReason;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.order.StopRun;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.NextLifeEvidence;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

class WorkerSessionTest extends WorkerSessionTestCase {
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

    /** A draining worker may exit at any moment; its tasks would wait for a renewed lease. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void leaseOfDrainingWorkerIsNotRenewed(boolean draining) {
        RunId run = new RunId(TASK, 1);
        startWorkflow(new RunPlacement(run, worker.incarnation(), ""));
        answerList(List.of(new RunStatus(run, "", 10, -1)));
        session.update(
                new FleetWorker(
                        worker.incarnation(),
                        worker.pool(),
                        worker.address(),
                        worker.availabilityZone(),
                        worker.capacity(),
                        worker.labels(),
                        draining));
        session.tick(20, output);
        assertThat(((ListRuns) calls.get(0)).leaseUntil().isPresent()).isEqualTo(!draining);
    }

    // A list that was called after the evidence for the next life was taken granted it a lease.
    @Test
    void noLeaseIsGrantedOnceTheNextLifeHasReported() {
        RunId run = new RunId(TASK, 1);
        startWorkflow(new RunPlacement(run, worker.incarnation(), ""));
        answerList(List.of(new RunStatus(run, "", 10, -1)));
        session.expectSuccessor();
        session.tick(20, output);
        assertThat(((ListRuns) calls.get(0)).leaseUntil()).isEmpty();
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
        assertThat(session.nextLifeEvidence())
                .isEqualTo(new NextLifeEvidence(List.of(TASK), List.of(), true));
    }
}
