package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.ReleaseWorker;
import org.marjoramnotch.model.message.ReportWorker;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/**
 * Releases a worker by a call that names no start time, and that may arrive when another life of
 * the worker has enrolled. Guards against a life that is stopped and gets no work because an
 * earlier one has left.
 */
class ReleaseOfEarlierLifeTest {
    private static final Resources CAPACITY = new Resources(8_000, 16_000, 0);
    private static final WorkerId WORKER = new WorkerId("w-1");
    private static final long DRAIN_MILLISECONDS = 2_000;

    /** Longest time without a run that is allowed for a task with room. */
    private static final long RUN_BOUND_MILLISECONDS = 3_000;

    private final WorkflowCell cell = new WorkflowCell(1);
    private int workflows;

    /** What happens between the sending of the release and its arrival. */
    private enum Delay {
        NEXT_LIFE,
        TWO_LIVES,
        CHANGE_OF_LEADER,
        RESTART_FROM_SNAPSHOT
    }

    /** The work of the life that is enrolled when the release arrives. */
    private enum Work {
        SINGLE,
        STANDING,
        GANG,
        CHECKPOINTING
    }

    /** What the enrolled life has reported of its end. */
    private enum Report {
        READY,
        DRAINING_BRIEFLY,
        DRAINING
    }

    static Stream<Arguments> ways() {
        return Arrays.stream(Delay.values())
                .flatMap(
                        delay ->
                                Arrays.stream(Work.values())
                                        .map(work -> Arguments.of(delay, work)));
    }

    private void start() {
        cell.settings =
                WorkflowSettings.builder()
                        .leaseMilliseconds(3_000)
                        .drainMilliseconds(DRAIN_MILLISECONDS)
                        .build();
        cell.changeLeader();
        new SimulatedGangs(cell);
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(100);
        begin();
    }

    /** Starts a life of the worker, which the leader uses. */
    private void begin() {
        cell.addWorker(WORKER.value(), CAPACITY);
        cell.run(800);
    }

    private void drain() {
        cell.workers.get(WORKER).drain();
        cell.request(new ReportWorker(cell.workers.get(WORKER).worker(), cell.now()));
        cell.run(50);
    }

    /** Lets the worker drain, send a release that does not arrive, and end. */
    private void leave() {
        drain();
        cell.run(DRAIN_MILLISECONDS);
        cell.crash(WORKER);
        cell.run(500);
    }

    private RequestHandle release() {
        return cell.request(new ReleaseWorker(WORKER, OptionalLong.empty()));
    }

    private void submit(Work work) {
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(2)
                        .demand(new Resources(1_000, 100, 0))
                        .estimateMilliseconds(60_000)
                        .standing(work == Work.STANDING)
                        .gang(work == Work.GANG)
                        .checkpointing(work == Work.CHECKPOINTING)
                        .build();
        workflows++;
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target("%016x".formatted(workflows)),
                        new WorkflowDraft("payload", List.of(step), Optional.empty())));
        cell.run(RUN_BOUND_MILLISECONDS);
    }

    private int running() {
        return cell.workers.get(WORKER).live().size();
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("ways")
    void releaseOfEarlierLifeTakesNothingFromTheNext(Delay delay, Work work) {
        start();
        leave();
        begin();
        if (delay == Delay.TWO_LIVES) {
            cell.crash(WORKER);
            begin();
        }
        submit(work);
        assertThat(running()).isEqualTo(2);
        if (delay == Delay.CHANGE_OF_LEADER) {
            cell.changeLeader();
        } else if (delay == Delay.RESTART_FROM_SNAPSHOT) {
            cell.restartFromSnapshot();
        }
        cell.run(700);
        RequestHandle late = release();
        cell.run(1_000);
        assertThat(running()).isEqualTo(2);
        assertThat(cell.replies.get(late)).isInstanceOf(Refused.class);
        submit(Work.SINGLE);

        assertThat(running()).isEqualTo(4);
    }

    /** A life that drains as well needs the drain time before a release can be its own. */
    @ParameterizedTest
    @EnumSource(Report.class)
    void releaseIsOfTheEnrolledLifeOnlyIfThatHasDrained(Report report) {
        start();
        leave();
        begin();
        submit(Work.STANDING);
        if (report != Report.READY) {
            drain();
        }
        if (report == Report.DRAINING) {
            cell.run(DRAIN_MILLISECONDS);
        }
        RequestHandle release = release();
        cell.run(900);

        boolean drained = report == Report.DRAINING;
        assertThat(running()).isEqualTo(drained ? 0 : 2);
        assertThat(cell.replies.get(release)).isInstanceOf(drained ? Done.class : Refused.class);
        assertThat(events())
                .contains(drained ? "worker_released" : "release_ignored")
                .doesNotContain(drained ? "release_ignored" : "worker_released");
    }

    /** Guards against work that is held back for a minute from a worker that reports ready. */
    @Test
    void lifeThatGoesOnAfterItsReleaseGetsWorkAgain() {
        start();
        drain();
        cell.run(DRAIN_MILLISECONDS);
        release();
        cell.run(1_000);
        assertThat(cell.ledger.worker(WORKER)).isEmpty();
        FleetWorker draining = cell.workers.get(WORKER).worker();
        cell.crash(WORKER);
        cell.addWorker(
                WORKER.value(),
                CAPACITY,
                draining.incarnation().startedEpochMilliseconds(),
                draining.labels());
        submit(Work.SINGLE);
        cell.run(RUN_BOUND_MILLISECONDS);

        assertThat(events()).contains("release_refuted");
        assertThat(running()).isEqualTo(2);
    }

    /** The number of the report by which the worker drains is not in the ledger. */
    @Test
    void lateReportFromBeforeDrainingDoesNotMakeWorkerUsableToNextLeader() {
        start();
        FleetWorker ready = cell.workers.get(WORKER).worker();
        long sequence = cell.now();
        drain();
        cell.cutOff(WORKER, true);
        cell.changeLeader();
        cell.run(20);
        cell.request(new ReportWorker(ready, sequence));
        cell.run(100);

        assertThat(cell.ledger.worker(WORKER).orElseThrow().worker().draining()).isTrue();
    }

    @Test
    void lateReportOfEarlierLifeThatDrainedDoesNotDrainTheNext() {
        start();
        drain();
        FleetWorker earlier = cell.workers.get(WORKER).worker();
        cell.crash(WORKER);
        begin();
        cell.request(new ReportWorker(earlier, cell.now()));
        cell.run(100);

        WorkerIncarnation present = cell.workers.get(WORKER).worker().incarnation();
        FleetWorker known = cell.ledger.worker(WORKER).orElseThrow().worker();
        assertThat(known.incarnation()).isEqualTo(present);
        assertThat(known.draining()).isFalse();
    }

    private List<String> events() {
        return cell.decisionLog.stream().map(entry -> entry.event()).toList();
    }
}
