package org.marjoramnotch.logic.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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
import org.marjoramnotch.model.job.JobStatus;
import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.job.TaskReport;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.job.WorkerOrder;
import org.marjoramnotch.model.message.AnnounceWorker;
import org.marjoramnotch.model.message.CancelJobRequest;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.Credential;
import org.marjoramnotch.model.message.JobAnswer;
import org.marjoramnotch.model.message.ReadJob;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RenewWorker;
import org.marjoramnotch.model.message.SubmitJobRequest;
import org.marjoramnotch.model.message.WorkerRenewed;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.Repetition;

class JobDutyTest {
    private static final TeamName TEAM = new TeamName("wards");

    /** The lease of 10,000 ms, plus the clock drift of 1%, plus the margin of 500 ms. */
    private static final long EXPIRY_MILLISECONDS = 10_600;

    private final TestCell cell =
            new TestCell(
                    new TestConfiguration().with("wards", 1, 64).with("crews", 1, 64),
                    JobSettings.defaults(),
                    1);

    @Test
    void taskIsStartedOnceAndEndIsAnsweredAfterCommit() {
        long epoch = announce("w1");
        JobId job = submit(1, 1000);
        RequestHandle held = renew("w1", epoch, 5000, List.of());
        cell.advance(40);
        WorkerOrder.Start start =
                new WorkerOrder.Start(attempt(job, 0, 1), epoch, perTask(1000), "payload");
        assertThat(cell.reply(held)).contains(new WorkerRenewed(epoch, 10_000, List.of(start)));

        RequestHandle ended =
                renew(
                        "w1",
                        epoch,
                        5000,
                        List.of(),
                        new TaskReport(attempt(job, 0, 1), TaskEnd.SUCCEEDED));
        assertThat(cell.reply(ended)).isEmpty();
        cell.commit();
        assertThat(cell.reply(ended)).contains(new WorkerRenewed(epoch, 10_000, List.of()));
        assertThat(status(job).state()).isEqualTo(JobState.SUCCEEDED);
    }

    @Test
    void startIsRepeatedUntilReportedAndCancelledRunIsStopped() {
        long epoch = announce("w1");
        JobId job = submit(1, 1000);
        cell.advance(40);
        TaskAttemptId run = attempt(job, 0, 1);
        assertThat(orders(renew("w1", epoch, 0, List.of()))).hasSize(1);
        assertThat(orders(renew("w1", epoch, 0, List.of()))).hasSize(1);
        assertThat(orders(renew("w1", epoch, 0, List.of(run)))).isEmpty();
        RequestHandle held = renew("w1", epoch, 5000, List.of(run));
        RequestHandle cancel = cell.send(new CancelJobRequest(credential(), job));
        assertThat(cell.reply(cancel)).isEmpty();
        cell.advance(60);
        assertThat(cell.reply(cancel)).isPresent();
        assertThat(orders(held)).containsExactly(new WorkerOrder.Stop(run));
    }

    @ParameterizedTest
    @CsvSource({"10580, false", "10640, true"})
    void lostWorkerIsReplacedOnlyAfterLeaseDriftAndMargin(long silence, boolean replaced) {
        long epoch = announce("w1");
        JobId job = submit(1, 1000);
        cell.advance(40);
        renew("w1", epoch, 0, List.of());
        long answered = cell.now;
        announce("w2");
        for (long at = cell.now; cell.now < answered + silence; at = cell.now) {
            renew("w2", 2, 0, List.of());
            cell.advance(Math.min(20, answered + silence - at));
        }
        assertThat(status(job).running()).isEqualTo(1);
        assertThat(cell.ledger.worker(new WorkerId("w1")).isEmpty()).isEqualTo(replaced);
    }

    @Test
    void newLeaderCountsLeasesFromStartOfItsTerm() {
        announce("w1");
        cell.advance(9_000);
        cell.startTerm();
        cell.advance(EXPIRY_MILLISECONDS - 20);
        assertThat(cell.ledger.workerCount()).isEqualTo(1);
        cell.advance(40);
        assertThat(cell.ledger.workerCount()).isZero();
    }

    @Test
    void renewalIsRefusedOnceExpiryIsProposed() {
        long epoch = announce("w1");
        cell.tick(EXPIRY_MILLISECONDS);
        assertThat(cell.ledger.workerCount()).isEqualTo(1);
        assertThat(refusal(cell.reply(renew("w1", epoch, 0, List.of()))))
                .isEqualTo(ErrorCode.STALE_EPOCH);
    }

    @Test
    void delayedAnnouncementDoesNotEndRuns() {
        long epoch = announce("w1");
        JobId job = submit(1, 1000);
        cell.advance(40);
        renew("w1", epoch, 0, List.of(attempt(job, 0, 1)));
        RequestHandle delayed = cell.send(new AnnounceWorker(description("w1")));
        cell.advance(1_000);
        assertThat(cell.reply(delayed)).isEmpty();
        renew("w1", epoch, 0, List.of(attempt(job, 0, 1)));
        assertThat(refusal(cell.reply(delayed))).isEqualTo(ErrorCode.STALE_EPOCH);
        assertThat(status(job).running()).isEqualTo(1);
    }

    @Test
    void announcementWaitsForLeaseOfPreviousEpoch() {
        announce("w1");
        JobId job = submit(1, 1000);
        cell.advance(40);
        RequestHandle again = cell.send(new AnnounceWorker(description("w1")));
        cell.advance(EXPIRY_MILLISECONDS + 100);
        assertThat(cell.reply(again)).contains(new WorkerRenewed(2, 10_000, List.of()));
        assertThat(status(job).queued()).isEqualTo(1);
    }

    @Test
    void renewalsOfOtherEpochsAreRefused() {
        long epoch = announce("w1");
        assertThat(refusal(cell.reply(renew("w1", epoch + 1, 0, List.of()))))
                .isEqualTo(ErrorCode.STALE_EPOCH);
        assertThat(refusal(cell.reply(renew("w2", epoch, 0, List.of()))))
                .isEqualTo(ErrorCode.UNKNOWN_WORKER);
    }

    @ParameterizedTest
    @CsvSource({
        // policy, tasks, processor of each, answer
        "BATCH, 100, 4000, accepted",
        "BATCH, 1, 4001, JOB_NEVER_FITS",
        "GANG, 4, 1000, accepted",
        "GANG, 5, 1000, JOB_NEVER_FITS",
        "QUICK, 1, 1000, WRONG_QUEUE_POLICY",
    })
    void jobThatCanNeverRunIsRefused(QueuePolicy policy, int tasks, long processor, String code) {
        announce("w1");
        CellReply reply = cell.exchange(submission(policy, tasks, processor));
        String answer =
                reply instanceof Refused refused ? "" + refused.refusal().code() : "accepted";
        assertThat(answer).isEqualTo(code);
    }

    @Test
    void readIsHeldUntilTheStateChanges() {
        JobId job = submit(1, 1000);
        RequestHandle read =
                cell.send(new ReadJob(credential(), job, Optional.of(JobState.QUEUED), 10_000));
        assertThat(cell.reply(read)).isEmpty();
        announce("w1");
        cell.advance(40);
        assertThat(((JobAnswer) cell.reply(read).orElseThrow()).status().state())
                .isEqualTo(JobState.RUNNING);
    }

    @Test
    void workersAreDividedByShareWhenAllAreFull() {
        cell.configuration.with("crews", 3, 64);
        announce("w1");
        JobId wards = submit(8, 1000);
        JobId crews =
                cell.submit(
                        new TeamName("crews"),
                        QueuePolicy.BATCH,
                        Repetition.IDEMPOTENT,
                        specification(8, 1000));
        cell.advance(40);
        assertThat(status(wards).running()).isEqualTo(1);
        assertThat(status(crews).running()).isEqualTo(3);
    }

    private long announce(String worker) {
        cell.exchange(new AnnounceWorker(description(worker)));
        long epoch = cell.ledger.worker(new WorkerId(worker)).orElseThrow().epoch;
        renew(worker, epoch, 0, List.of());
        return epoch;
    }

    private RequestHandle renew(
            String worker,
            long epoch,
            long wait,
            List<TaskAttemptId> running,
            TaskReport... ended) {
        return cell.send(
                new RenewWorker(
                        new WorkerId(worker), epoch, wait, running, List.of(ended), List.of()));
    }

    private List<WorkerOrder> orders(RequestHandle handle) {
        return ((WorkerRenewed) cell.reply(handle).orElseThrow()).orders();
    }

    private static ErrorCode refusal(Optional<CellReply> reply) {
        return ((Refused) reply.orElseThrow()).refusal().code();
    }

    private JobId submit(int tasks, long processor) {
        return cell.submit(
                TEAM, QueuePolicy.BATCH, Repetition.IDEMPOTENT, specification(tasks, processor));
    }

    private static SubmitJobRequest submission(QueuePolicy policy, int tasks, long processor) {
        return new SubmitJobRequest(
                credential(),
                Optional.empty(),
                TestConfiguration.queueName(policy, Repetition.IDEMPOTENT),
                specification(tasks, processor));
    }

    private static JobSpecification specification(int tasks, long processor) {
        return new JobSpecification("bundle", tasks, perTask(processor), 1000, false, "payload");
    }

    private static Resources perTask(long processor) {
        return new Resources(processor, 100, 0);
    }

    private static WorkerDescription description(String worker) {
        return new WorkerDescription(
                new WorkerId(worker),
                new Resources(4000, 4000, 0),
                new AvailabilityZone("zone"),
                new RackName("rack"));
    }

    private static Optional<Credential> credential() {
        return Optional.of(TestConfiguration.credential(TEAM));
    }

    private JobStatus status(JobId job) {
        return cell.ledger.status(job).orElseThrow();
    }

    private static TaskAttemptId attempt(JobId job, int task, int number) {
        return new TaskAttemptId(new TaskId(job, task), number);
    }
}
