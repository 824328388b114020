package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.DismissWorker;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ReportWorker;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.NextLifeEvidence;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;

/**
 * A list of the next life of a worker shows a run of its predecessor at work, at time 10. Its lease
 * may last for 10 s by a clock that is 2% slow, until 10,214.
 */
class NextLifeEvidenceTest extends WorkerSessionTestCase {
    private static final long LEASE_CERTAINLY_OVER = 16_000;

    private final RunId run = new RunId(TASK, 1);
    private final FleetWorker other = workerLike(new WorkerIncarnation(new WorkerId("w-2"), 1));
    private final FleetWorker next = workerLike(new WorkerIncarnation(new WorkerId("w-1"), 2));
    private WorkflowDuty duty;

    private FleetWorker workerLike(WorkerIncarnation incarnation) {
        return new FleetWorker(
                incarnation,
                worker.pool(),
                "10.0.0.2:80",
                worker.availabilityZone(),
                worker.capacity(),
                worker.labels(),
                false);
    }

    private void startRun() {
        startWorkflow(new RunPlacement(run, worker.incarnation(), ""));
        ledger.apply(new EnrollWorker(other));
    }

    private void answerLists(long now) {
        for (WorkerCall list : List.copyOf(calls)) {
            boolean restarted = list.worker().id().equals(worker.id());
            duty.onCallOutcome(
                    now,
                    new CallOutcome.Listed(
                            list.id(),
                            0,
                            OptionalLong.of(restarted ? 2 : 1),
                            restarted ? List.of(new RunStatus(run, "", 10, -1)) : List.of(),
                            List.of()),
                    output);
        }
        calls.clear();
    }

    private void dismissAfterListOfNextLife() {
        duty = startDuty();
        answerLists(10);
        duty.onTick(20, output);
        DismissWorker dismiss =
                new DismissWorker(
                        worker.incarnation(),
                        Optional.of(new NextLifeEvidence(List.of(), List.of(TASK), true)));
        assertThat(proposals).containsExactly(dismiss);
        duty.onApplied(30, dismiss, ledger.apply(dismiss), output);
    }

    private boolean startsAgainAt(long now) {
        RequestHandle handle = new RequestHandle("link", now);
        duty.onRequest(now, handle, new ReportWorker(other, now), output);
        duty.onTick(now, output);
        duty.onBatchEnd(now, output);
        return proposals.stream().anyMatch(StartRuns.class::isInstance);
    }

    @Test
    void taskWaitsForTheLongestLeaseBySlowClock() {
        startRun();
        dismissAfterListOfNextLife();

        assertThat(startsAgainAt(10_100)).isFalse();
        assertThat(startsAgainAt(LEASE_CERTAINLY_OVER)).isTrue();
    }

    // A silent session of the next life counted as settled after one lease of the cell.
    @Test
    void taskWaitsForTheLongestLeaseOfEnrolledLifeThatIsSilent() {
        startRun();
        dismissAfterListOfNextLife();
        EnrollWorker enroll = new EnrollWorker(next);
        duty.onApplied(40, enroll, ledger.apply(enroll), output);

        assertThat(startsAgainAt(6_000)).isFalse();
        assertThat(startsAgainAt(LEASE_CERTAINLY_OVER)).isTrue();
    }

    // The next leader did not know which tasks the next life may have started.
    @Test
    void taskWaitsForTheLongestLeaseAfterChangeOfLeader() {
        startRun();
        dismissAfterListOfNextLife();
        calls.clear();
        duty =
                new WorkflowDuty(
                        WorkflowSettings.defaults(),
                        ledger,
                        () -> WorkflowCell.EPOCH,
                        1_024,
                        1_000,
                        ConfigurationMetricsListener.NONE);
        duty.onTick(1_000, output);
        answerLists(1_010);

        assertThat(startsAgainAt(6_200)).isFalse();
        assertThat(startsAgainAt(LEASE_CERTAINLY_OVER)).isTrue();
    }

    // The list counted only for runs that the ledger still had on the earlier life.
    @Test
    void taskOfLapsedRunWaitsWhileTheNextLifeShowsTheRunAtWork() {
        startRun();
        RunEnd lapsed = new RunEnd(run, RunOutcome.LAPSED, "");
        ledger.apply(new EndRuns(worker.incarnation(), List.of(lapsed)));
        dismissAfterListOfNextLife();

        assertThat(startsAgainAt(40)).isFalse();
        assertThat(startsAgainAt(LEASE_CERTAINLY_OVER)).isTrue();
    }

    // A call that was meant for a dismissed life was carried out late by the next one.
    @Test
    void lifeAfterDismissedOneIsCalledWithHigherToken() {
        startRun();
        dismissAfterListOfNextLife();
        EnrollWorker enroll = new EnrollWorker(next);
        duty.onApplied(40, enroll, ledger.apply(enroll), output);
        duty.onTick(40, output);

        assertThat(calls).extracting(WorkerCall::worker).containsExactly(next);
        // The duty of this test begins with token 2.
        assertThat(calls.get(0).fencingToken()).isGreaterThan(2);
    }
}
