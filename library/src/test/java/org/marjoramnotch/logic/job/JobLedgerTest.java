package org.marjoramnotch.logic.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.command.CancelJob;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.EndTask;
import org.marjoramnotch.model.command.ExpireWorker;
import org.marjoramnotch.model.command.RegisterWorker;
import org.marjoramnotch.model.command.StartTasks;
import org.marjoramnotch.model.command.SubmitJob;
import org.marjoramnotch.model.command.TaskPlacement;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.TaskId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.JobSnapshot;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.job.JobState;
import org.marjoramnotch.model.job.JobStatus;
import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.Repetition;

class JobLedgerTest {
    private static final TeamName TEAM = new TeamName("wards");
    private static final JobId JOB = new JobId("job");
    private static final WorkerId WORKER = new WorkerId("worker");

    private final TestConfiguration configuration = new TestConfiguration().with("wards", 1, 3);
    private final TeamUsage usage = configuration.usage();
    private final JobLedger ledger = new JobLedger(configuration, usage);

    @BeforeEach
    void registerWorker() {
        assertThat(ledger.apply(register())).isEqualTo(new CommandResult.WorkerAccepted(1));
    }

    @ParameterizedTest
    @CsvSource({
        // policy, repetition, ends of the first runs, state, outcome, queued
        "BATCH, IDEMPOTENT, SUCCEEDED, SUCCEEDED, RAN, 0",
        "BATCH, IDEMPOTENT, FAILED, QUEUED, UNKNOWN, 1",
        "BATCH, IDEMPOTENT, FAILED FAILED, QUEUED, UNKNOWN, 1",
        "BATCH, IDEMPOTENT, FAILED FAILED FAILED, FAILED, UNKNOWN, 0",
        "BATCH, IDEMPOTENT, STOPPED SUCCEEDED, SUCCEEDED, RAN, 0",
        "BATCH, IDEMPOTENT, LEASE_EXPIRED, QUEUED, UNKNOWN, 1",
        "BATCH, ONCE, SUCCEEDED, SUCCEEDED, RAN, 0",
        "BATCH, ONCE, FAILED, FAILED, UNKNOWN, 0",
        "BATCH, ONCE, STOPPED, FAILED, UNKNOWN, 0",
        "BATCH, ONCE, LEASE_EXPIRED, FAILED, UNKNOWN, 0",
        "BATCH, ONCE, NOT_STARTED, QUEUED, UNKNOWN, 1",
        "BATCH, ONCE, NOT_STARTED NOT_STARTED NOT_STARTED NOT_STARTED NOT_STARTED NOT_STARTED"
                + " NOT_STARTED NOT_STARTED NOT_STARTED NOT_STARTED, FAILED, NOT_RUN, 0",
        "GANG, IDEMPOTENT, FAILED, QUEUED, UNKNOWN, 1",
        "GANG, ONCE, FAILED, FAILED, UNKNOWN, 0",
        "SERVICE, ONCE, FAILED FAILED FAILED FAILED, QUEUED, UNKNOWN, 1",
        "SERVICE, IDEMPOTENT, SUCCEEDED, QUEUED, RAN, 1",
    })
    void endOfRunFollowsRetryPolicy(
            QueuePolicy policy,
            Repetition repetition,
            String ends,
            JobState state,
            ExecutionOutcome outcome,
            int queued) {
        submit(JOB, policy, repetition, 1);
        int run = 0;
        for (String end : ends.split(" ")) {
            run++;
            assertThat(ledger.apply(start(0, run, 1))).isEqualTo(new CommandResult.Accepted());
            ledger.apply(end(0, run, TaskEnd.valueOf(end)));
        }
        JobStatus status = ledger.status(JOB).orElseThrow();
        assertThat(status)
                .isEqualTo(
                        new JobStatus(
                                JOB,
                                state,
                                outcome,
                                queued,
                                0,
                                status.succeeded(),
                                status.failed()));
        assertThat(usage.total()).isZero();
    }

    @ParameterizedTest
    @CsvSource({
        // end of the one of two tasks that runs when the job is cancelled, outcome, succeeded,
        // failed
        "STOPPED, UNKNOWN, 0, 0",
        "SUCCEEDED, RAN, 1, 0",
        "FAILED, UNKNOWN, 0, 1",
        "NOT_STARTED, NOT_RUN, 0, 0",
        "LEASE_EXPIRED, UNKNOWN, 0, 0",
    })
    void cancelledJobReportsActualOutcome(
            TaskEnd end, ExecutionOutcome outcome, int succeeded, int failed) {
        submit(JOB, QueuePolicy.BATCH, Repetition.IDEMPOTENT, 2);
        ledger.apply(start(0, 1, 1));
        ledger.apply(new CancelJob(JOB));
        assertThat(ledger.status(JOB))
                .contains(
                        new JobStatus(JOB, JobState.RUNNING, ExecutionOutcome.UNKNOWN, 0, 1, 0, 0));
        assertThat(code(ledger.apply(start(1, 1, 1)))).isEqualTo(ErrorCode.STALE_EPOCH);
        ledger.apply(end(0, 1, end));
        assertThat(ledger.status(JOB))
                .contains(new JobStatus(JOB, JobState.CANCELLED, outcome, 0, 0, succeeded, failed));
    }

    @ParameterizedTest
    @CsvSource({
        // task, run, epoch, code; task 0 is already running, four tasks fit on the worker, and the
        // limit of the team is three
        "1, 1, 0, STALE_EPOCH",
        "1, 1, 2, STALE_EPOCH",
        "0, 2, 1, STALE_EPOCH",
        "1, 2, 1, STALE_EPOCH",
        "99, 1, 1, UNKNOWN_JOB",
    })
    void startIsRefusedAfterWorkerOrTaskChanged(int task, int run, long epoch, ErrorCode code) {
        submit(JOB, QueuePolicy.BATCH, Repetition.IDEMPOTENT, 9);
        ledger.apply(start(0, 1, 1));
        JobSnapshot before = ledger.snapshot();
        assertThat(code(ledger.apply(start(task, run, epoch)))).isEqualTo(code);
        assertThat(ledger.snapshot()).isEqualTo(before);
    }

    @ParameterizedTest
    @CsvSource({"5, 9, OVERLOADED", "4, 3, TEAM_AT_LIMIT"})
    void startAppliesAllPlacementsOrNone(int tasks, int upperLimit, ErrorCode code) {
        configuration.with("wards", 1, upperLimit);
        submit(JOB, QueuePolicy.BATCH, Repetition.IDEMPOTENT, 9);
        JobSnapshot before = ledger.snapshot();
        List<TaskPlacement> placements =
                IntStream.range(0, tasks).mapToObj(task -> placement(task, 1, 1)).toList();
        assertThat(code(ledger.apply(new StartTasks(placements)))).isEqualTo(code);
        assertThat(ledger.snapshot()).isEqualTo(before);
    }

    @Test
    void registeringAgainEndsRunsAndFencesPreviousEpoch() {
        submit(JOB, QueuePolicy.BATCH, Repetition.IDEMPOTENT, 1);
        ledger.apply(start(0, 1, 1));
        assertThat(ledger.apply(register())).isEqualTo(new CommandResult.WorkerAccepted(2));
        ledger.apply(new ExpireWorker(WORKER, 1));
        assertThat(ledger.workerCount()).isEqualTo(1);
        assertThat(code(ledger.apply(start(0, 2, 1)))).isEqualTo(ErrorCode.STALE_EPOCH);
        ledger.apply(new ExpireWorker(WORKER, 2));
        assertThat(ledger.workerCount()).isZero();
        assertThat(ledger.apply(register())).isEqualTo(new CommandResult.WorkerAccepted(3));
    }

    @Test
    void lateEndOfAnEarlierRunIsIgnored() {
        submit(JOB, QueuePolicy.BATCH, Repetition.IDEMPOTENT, 1);
        ledger.apply(start(0, 1, 1));
        ledger.apply(end(0, 1, TaskEnd.FAILED));
        ledger.apply(start(0, 2, 1));
        JobSnapshot before = ledger.snapshot();
        ledger.apply(end(0, 1, TaskEnd.SUCCEEDED));
        assertThat(ledger.snapshot()).isEqualTo(before);
    }

    @Test
    void resentSubmissionReturnsFirstJobAndOtherContentIsRefused() {
        CommandResult first = ledger.apply(submission("first", 1));
        assertThat(ledger.apply(submission("second", 1))).isEqualTo(first);
        assertThat(code(ledger.apply(submission("third", 2))))
                .isEqualTo(ErrorCode.REQUEST_ID_REUSED);
    }

    @Test
    void withdrawnKeyIsRefusedForNewJobsAndAcceptedJobsContinue() {
        submit(JOB, QueuePolicy.BATCH, Repetition.IDEMPOTENT, 1);
        configuration.keys.clear();
        assertThat(code(ledger.apply(submission("late", 1)))).isEqualTo(ErrorCode.KEY_REFUSED);
        assertThat(ledger.apply(start(0, 1, 1))).isEqualTo(new CommandResult.Accepted());
    }

    @Test
    void restoredStateEqualsOriginal() {
        submit(JOB, QueuePolicy.GANG, Repetition.IDEMPOTENT, 3);
        ledger.apply(start(1, 1, 1));
        ledger.apply(start(2, 1, 1));
        ledger.apply(end(2, 1, TaskEnd.FAILED));
        ledger.apply(submission("other", 1));
        ledger.apply(new CancelJob(new JobId("other")));
        TeamUsage restoredUsage = configuration.usage();
        JobLedger restored = new JobLedger(configuration, restoredUsage);
        restored.restore(ledger.snapshot());
        assertThat(restored.snapshot()).isEqualTo(ledger.snapshot());
        assertThat(restoredUsage.running(TEAM)).isEqualTo(1);
        assertThat(restored.apply(submission("resent", 1)))
                .isEqualTo(new CommandResult.JobAccepted(new JobId("other")));
    }

    @Test
    void oldestFinishedJobsAreEvicted() {
        for (int number = 0; number <= FinishedJobs.MAXIMUM_JOBS; number++) {
            JobId job = new JobId("job" + number);
            submit(job, QueuePolicy.BATCH, Repetition.ONCE, 1);
            ledger.apply(new CancelJob(job));
        }
        assertThat(ledger.status(new JobId("job0"))).isEmpty();
        assertThat(ledger.status(new JobId("job1"))).isPresent();
    }

    private static RegisterWorker register() {
        return new RegisterWorker(
                new WorkerDescription(
                        WORKER,
                        new Resources(4000, 4000, 0),
                        new AvailabilityZone("zone"),
                        new RackName("rack")));
    }

    private void submit(JobId job, QueuePolicy policy, Repetition repetition, int tasks) {
        SubmitJob command =
                new SubmitJob(
                        job,
                        Optional.empty(),
                        TestConfiguration.queueName(policy, repetition),
                        TEAM,
                        Optional.of(TestConfiguration.key(TEAM)),
                        specification(tasks));
        assertThat(ledger.apply(command)).isEqualTo(new CommandResult.JobAccepted(job));
    }

    private static SubmitJob submission(String job, int tasks) {
        return new SubmitJob(
                new JobId(job),
                Optional.of(new RequestId("request")),
                TestConfiguration.queueName(QueuePolicy.BATCH, Repetition.IDEMPOTENT),
                TEAM,
                Optional.of(TestConfiguration.key(TEAM)),
                specification(tasks));
    }

    private static JobSpecification specification(int tasks) {
        return new JobSpecification(
                "bundle", tasks, new Resources(1000, 1000, 0), 1000, false, "payload");
    }

    private static StartTasks start(int task, int run, long epoch) {
        return new StartTasks(List.of(placement(task, run, epoch)));
    }

    private static TaskPlacement placement(int task, int run, long epoch) {
        return new TaskPlacement(new TaskAttemptId(new TaskId(JOB, task), run), WORKER, epoch);
    }

    private static EndTask end(int task, int run, TaskEnd end) {
        return new EndTask(new TaskAttemptId(new TaskId(JOB, task), run), end);
    }

    private static ErrorCode code(CommandResult result) {
        assertThat(result).isInstanceOf(CommandResult.Rejected.class);
        return ((CommandResult.Rejected) result).refusal().code();
    }
}
