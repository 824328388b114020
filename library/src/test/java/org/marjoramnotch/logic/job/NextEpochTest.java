package org.marjoramnotch.logic.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.TaskId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.job.JobState;
import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.job.TaskReport;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.job.WorkerOrder;
import org.marjoramnotch.model.message.AnnounceWorker;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RenewWorker;
import org.marjoramnotch.model.message.WorkerRenewed;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.Repetition;

/** A worker is announced again under its name while a run of its earlier epoch was failing. */
class NextEpochTest {
    private static final WorkerId WORKER = new WorkerId("w1");
    private static final Resources DEMAND = new Resources(1_000, 100, 0);

    /** Longer than a task waits after a run that did not succeed, and shorter than a lease. */
    private static final long RETRY_MILLISECONDS = 5_000;

    private final TestCell cell =
            new TestCell(new TestConfiguration().with("wards", 1, 64), JobSettings.defaults(), 1);
    private final JobId job = startJob();
    private final long firstEpoch = cell.ledger.worker(WORKER).orElseThrow().epoch;

    private JobId startJob() {
        announce();
        JobId submitted =
                cell.submit(
                        new TeamName("wards"),
                        QueuePolicy.BATCH,
                        Repetition.IDEMPOTENT,
                        new JobSpecification("bundle", 1, DEMAND, 1_000, false, "payload"));
        cell.advance(40);
        return submitted;
    }

    private void announce() {
        cell.send(
                new AnnounceWorker(
                        new WorkerDescription(
                                WORKER,
                                new Resources(4_000, 4_000, 0),
                                new AvailabilityZone("zone"),
                                new RackName("rack"))));
        cell.commit();
        cell.ledger.worker(WORKER).ifPresent(worker -> renew(worker.epoch));
    }

    private RequestHandle renew(long epoch, TaskReport... ended) {
        RequestHandle handle =
                cell.send(new RenewWorker(WORKER, epoch, 0, List.of(), List.of(ended), List.of()));
        cell.commit();
        return handle;
    }

    private TaskReport failed(int attempt) {
        return new TaskReport(new TaskAttemptId(new TaskId(job, 0), attempt), TaskEnd.FAILED);
    }

    private TaskEntry task() {
        return cell.ledger.task(new TaskId(job, 0)).orElseThrow();
    }

    /** Ends the first epoch with its lease, and begins the next one under the same name. */
    private long beginNextEpoch() {
        cell.advance(JobSettings.defaults().expiryMilliseconds() + 40);
        announce();
        cell.advance(RETRY_MILLISECONDS);
        return cell.ledger.worker(WORKER).orElseThrow().epoch;
    }

    // No order names a time of the worker's clock, and none of an earlier epoch is repeated.
    @Test
    void ordersAreOfTheEpochThatAsksForThem() {
        long epoch = beginNextEpoch();
        assertThat(epoch).isGreaterThan(firstEpoch);
        WorkerRenewed answer = (WorkerRenewed) cell.reply(renew(epoch)).orElseThrow();
        assertThat(answer.leaseMilliseconds())
                .isEqualTo(JobSettings.defaults().workerLeaseMilliseconds());
        assertThat(answer.orders())
                .containsExactly(
                        new WorkerOrder.Start(
                                new TaskAttemptId(new TaskId(job, 0), 2),
                                epoch,
                                DEMAND,
                                "payload"));
    }

    static Stream<Arguments> changes() {
        Consumer<TestCell> none = cell -> {};
        Consumer<TestCell> leader = TestCell::startTerm;
        Consumer<TestCell> snapshot = TestCell::restore;
        return Stream.of(
                Arguments.of("same leader", none),
                Arguments.of("next leader", leader),
                Arguments.of("after a snapshot", snapshot));
    }

    // A run that was given up counts once, as an interruption; its late end is not acknowledged.
    @ParameterizedTest(name = "{0}")
    @MethodSource("changes")
    void failureOfAnEarlierEpochIsRefused(String change, Consumer<TestCell> apply) {
        beginNextEpoch();
        apply.accept(cell);
        RequestHandle late = renew(firstEpoch, failed(1));
        assertThat(((Refused) cell.reply(late).orElseThrow()).refusal().code())
                .isEqualTo(ErrorCode.STALE_EPOCH);
        assertThat((int) task().failures).isZero();
        assertThat((int) task().interruptions).isEqualTo(1);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("changes")
    void failureThatIsReportedTwiceCountsOnce(String change, Consumer<TestCell> apply) {
        renew(firstEpoch, failed(1));
        apply.accept(cell);
        renew(firstEpoch, failed(1));
        assertThat((int) task().failures).isEqualTo(1);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("changes")
    void taskFailsAfterAsManyFailedRunsAcrossEpochs(String change, Consumer<TestCell> apply) {
        renew(firstEpoch, failed(1));
        cell.advance(40);
        long epoch = beginNextEpoch();
        apply.accept(cell);
        int reported = 1;
        while (cell.ledger.status(job).orElseThrow().state() != JobState.FAILED
                && reported <= RetryPolicy.MAXIMUM_FAILURES) {
            renew(epoch, new TaskReport(task().attempt(), TaskEnd.FAILED));
            reported++;
            cell.advance(RETRY_MILLISECONDS);
            renew(epoch);
        }
        assertThat(reported).isEqualTo(RetryPolicy.MAXIMUM_FAILURES);
        assertThat(cell.ledger.status(job).orElseThrow().state()).isEqualTo(JobState.FAILED);
    }
}
