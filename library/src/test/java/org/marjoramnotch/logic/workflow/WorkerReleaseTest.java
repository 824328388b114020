package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.ReleaseWorker;
import org.marjoramnotch.model.message.ReportWorker;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/** Releases a worker, which continues its runs until the reply has reached it. */
class WorkerReleaseTest {
    private static final Resources CAPACITY = new Resources(8_000, 16_000, 0);
    private static final WorkerId LEAVING = new WorkerId("w-1");
    private static final int TASKS = 3;

    /** A worker waits one second for the reply before it asks another daemon. */
    private static final long REPLY_BOUND_MILLISECONDS = 900;

    /** Longest time without a run that is allowed for a task with room. */
    private static final long RUN_BOUND_MILLISECONDS = 3_000;

    /** The lease of the cell, at the rate of the slowest clock, and the next call. */
    private static final long LEASE_BOUND_MILLISECONDS = 4_000;

    private WorkflowCell cell = new WorkflowCell(1);

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 12);
    }

    /** Starts tasks on the worker that leaves, and then adds others with room for them. */
    private void start(long seed) {
        cell = new WorkflowCell(seed);
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(100);
        cell.addWorker(LEAVING.value(), CAPACITY);
        cell.run(1_000);
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(TASKS)
                        .demand(new Resources(1_000, 100, 0))
                        .estimateMilliseconds(60_000)
                        .standing(true)
                        .build();
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target("0123456789abcdef"),
                        new WorkflowDraft("payload", List.of(step), Optional.empty())));
        cell.run(500);
        assertThat(running()).isEqualTo(TASKS);
        List.of("w-2", "w-3").forEach(name -> cell.addWorker(name, CAPACITY));
        cell.run(1_500 + cell.random().nextInt(2_000));
        cell.workers.get(LEAVING).drain();
        cell.run(1_600);
    }

    private RequestHandle release() {
        WorkerIncarnation incarnation = cell.workers.get(LEAVING).worker().incarnation();
        return cell.request(
                new ReleaseWorker(
                        LEAVING, OptionalLong.of(incarnation.startedEpochMilliseconds())));
    }

    private int running() {
        return cell.workers.values().stream().mapToInt(worker -> worker.live().size()).sum();
    }

    /** Guards against a second run on another worker while the reply has not arrived. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noTaskRunsElsewhereWhileReleasedWorkerRunsIt(long seed) {
        start(seed);
        cell.cutOff(LEAVING, true);
        cell.run(cell.random().nextInt(600));
        release();
        cell.run(3_000);
        cell.crash(LEAVING);
        cell.run(LEASE_BOUND_MILLISECONDS);
        assertThat(running()).isEqualTo(TASKS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void tasksOfReleasedWorkerRunElsewhereOnceTheyAreStopped(long seed) {
        start(seed);
        cell.answerListsPromptly();
        RequestHandle release = release();
        cell.run(REPLY_BOUND_MILLISECONDS);
        assertThat(cell.replies).containsEntry(release, new Done());
        assertThat(cell.ledger.worker(LEAVING)).isEmpty();
        assertThat(cell.workers.get(LEAVING).live()).isEmpty();
        assertThat(running()).isEqualTo(TASKS);
    }

    /** A refused connection may come from a cut, behind which the worker runs on. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noTaskRunsElsewhereWhileReleasedWorkerThatRefusesConnectionsRunsIt(long seed) {
        start(seed);
        cell.network.refuseConnections(LEAVING);
        cell.run(cell.random().nextInt(600));
        release();
        cell.run(3_000);
        cell.crash(LEAVING);
        cell.run(LEASE_BOUND_MILLISECONDS);
        assertThat(running()).isEqualTo(TASKS);
    }

    /** Nothing but the lease tells a worker that has exited from one behind a cut. */
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksOfReleasedWorkerThatExitsUnseenRunElsewhereOnceItsLeaseIsOver(long seed) {
        start(seed);
        RequestHandle release = release();
        cell.crash(LEAVING);
        cell.network.refuseConnections(LEAVING);
        cell.run(REPLY_BOUND_MILLISECONDS);
        assertThat(cell.replies).containsEntry(release, new Done());
        cell.run(LEASE_BOUND_MILLISECONDS - REPLY_BOUND_MILLISECONDS);
        assertThat(cell.ledger.worker(LEAVING)).isEmpty();
        assertThat(running()).isEqualTo(TASKS);
    }

    /** A refused connection alone does not show that a worker has ended. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noTaskRunsElsewhereWhileWorkerThatWasNotReleasedRunsIt(long seed) {
        start(seed);
        cell.network.refuseConnections(LEAVING);
        cell.run(LEASE_BOUND_MILLISECONDS);
        assertThat(running()).isEqualTo(TASKS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void nextLeaderStartsNoSecondRunEither(long seed) {
        start(seed);
        cell.cutOff(LEAVING, true);
        release();
        cell.run(cell.random().nextInt(400));
        cell.changeLeader();
        cell.run(cell.random().nextInt(1_000));
        release();
        cell.run(2_000);
        cell.crash(LEAVING);
        cell.run(LEASE_BOUND_MILLISECONDS);
        assertThat(running()).isEqualTo(TASKS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void tasksOfReleasedWorkerRunSoonIfLeaderChanges(long seed) {
        start(seed);
        release();
        cell.run(cell.random().nextInt(250));
        cell.changeLeader();
        cell.run(900);
        release();
        cell.run(RUN_BOUND_MILLISECONDS - 900);
        assertThat(running()).isEqualTo(TASKS);
    }

    @Test
    void releaseOfUnreachableWorkerIsAnsweredBeforeItsRunsAreOver() {
        start(1);
        cell.cutOff(LEAVING, true);
        RequestHandle release = release();
        cell.run(REPLY_BOUND_MILLISECONDS);
        assertThat(cell.replies).containsEntry(release, new Done());
        RequestHandle repeated = release();
        cell.run(100);
        assertThat(cell.replies).containsEntry(repeated, new Done());
    }

    /** Guards against runs that are started on a worker which reports late that it is ready. */
    @Test
    void delayedReportOfReleasedWorkerDoesNotEnrollItAgain() {
        start(1);
        FleetWorker worker = cell.workers.get(LEAVING).worker();
        cell.cutOff(LEAVING, true);
        release();
        cell.crash(LEAVING);
        cell.run(LEASE_BOUND_MILLISECONDS);
        assertThat(cell.ledger.worker(LEAVING)).isEmpty();
        RequestHandle report = cell.request(new ReportWorker(worker, 1));
        cell.run(100);
        assertThat(cell.replies).containsEntry(report, new Done());
        assertThat(cell.ledger.worker(LEAVING)).isEmpty();
    }

    @Test
    void releaseIsAnsweredThoughTheNextIncarnationEnrolls() {
        start(1);
        cell.cutOff(LEAVING, true);
        RequestHandle release = release();
        cell.run(100);
        cell.crash(LEAVING);
        cell.cutOff(LEAVING, false);
        cell.addWorker(LEAVING.value(), CAPACITY);
        cell.run(3_000);
        assertThat(cell.replies).containsEntry(release, new Done());
    }
}
