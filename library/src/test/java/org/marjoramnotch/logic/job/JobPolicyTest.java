package org.marjoramnotch.logic.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.job.TaskReport;
import org.marjoramnotch.model.job.TaskUsage;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.job.WorkerOrder;
import org.marjoramnotch.model.message.AnnounceWorker;
import org.marjoramnotch.model.message.RenewWorker;
import org.marjoramnotch.model.message.WorkerRenewed;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.Repetition;

/** Tests decisions on four workers with four processors each, in two zones with two racks each. */
class JobPolicyTest {
    private static final TeamName TEAM = new TeamName("wards");
    private static final TeamName OTHER = new TeamName("crews");

    private final TestCell cell =
            new TestCell(
                    new TestConfiguration().with("wards", 1, 64).with("crews", 1, 64),
                    JobSettings.defaults(),
                    1);
    private final Map<String, List<WorkerOrder>> orders = new TreeMap<>();
    private final Map<String, List<TaskReport>> reports = new TreeMap<>();

    @BeforeEach
    void registerWorkers() {
        for (int number = 0; number < 4; number++) {
            cell.exchange(
                    new AnnounceWorker(
                            new WorkerDescription(
                                    new WorkerId("w" + number),
                                    new Resources(4000, 4000, 0),
                                    new AvailabilityZone("z" + number % 2),
                                    new RackName("r" + number))));
        }
        advance(100);
    }

    @Test
    void serviceTasksAreSpreadOverZonesAndRacks() {
        JobId job = submit(TEAM, QueuePolicy.SERVICE, 4, 500, 0, false);
        advance(100);
        assertThat(workersOf(job)).containsExactlyInAnyOrder("w0", "w1", "w2", "w3");
    }

    @Test
    void batchTasksArePlacedOnFullestWorkerThatFits() {
        submit(TEAM, QueuePolicy.BATCH, 1, 3000, 60_000, false);
        advance(100);
        JobId small = submit(TEAM, QueuePolicy.BATCH, 1, 1000, 60_000, false);
        advance(100);
        assertThat(workersOf(small)).containsExactly("w0");
    }

    @Test
    void waitingGangIsNotDelayedByShorterWorkBehindIt() {
        JobId first = submit(TEAM, QueuePolicy.BATCH, 4, 2000, 10_000, false);
        advance(100);
        JobId gang = submit(TEAM, QueuePolicy.GANG, 4, 3000, 10_000, false);
        advance(100);
        JobId longRunning = submit(OTHER, QueuePolicy.BATCH, 4, 2000, 60_000, false);
        JobId shortRunning = submit(OTHER, QueuePolicy.BATCH, 1, 2000, 1_000, false);
        advance(500);
        assertThat(running(gang)).isZero();
        assertThat(running(longRunning)).isZero();
        assertThat(running(shortRunning)).isEqualTo(1);
        endAll(first);
        endAll(shortRunning);
        advance(500);
        assertThat(running(gang)).isEqualTo(4);
    }

    @Test
    void gangsThatEachNeedMoreThanHalfRunOneAfterTheOther() {
        JobId first = submit(TEAM, QueuePolicy.GANG, 3, 3000, 1_000, false);
        JobId second = submit(OTHER, QueuePolicy.GANG, 3, 3000, 1_000, false);
        advance(200);
        assertThat(List.of(running(first), running(second))).containsExactlyInAnyOrder(0, 3);
        endAll(first);
        endAll(second);
        advance(200);
        assertThat(running(first) + running(second)).isEqualTo(3);
    }

    @ParameterizedTest
    @CsvSource({
        // repetition of the jobs that fill the workers, waiting time in ms, urgent tasks running
        // after it
        "IDEMPOTENT, 800, 0",
        "IDEMPOTENT, 1700, 1",
        "ONCE, 1700, 0",
    })
    void urgentWorkStopsIdempotentRunsAfterPreemptionDelay(
            Repetition repetition, long waited, int running) {
        JobSpecification load = specification(16, 1000, 60_000, false);
        cell.submit(TEAM, QueuePolicy.BATCH, repetition, load);
        advance(500);
        JobId urgent = submit(OTHER, QueuePolicy.BATCH, 1, 1000, 1_000, true);
        advance(waited);
        assertThat(running(urgent)).isEqualTo(running);
    }

    @Test
    void workerThatFailsAllRunsIsQuarantinedAndProbed() {
        submit(TEAM, QueuePolicy.BATCH, 3, 4000, 60_000, false);
        advance(100);
        for (int number = 0; number < 3; number++) {
            submit(OTHER, QueuePolicy.BATCH, 1, 4000, 60_000, false);
            advance(100);
            endOn("w3", TaskEnd.FAILED);
            advance(100);
        }
        advance(9_000);
        assertThat(session("w3").health.isQuarantined()).isTrue();
        assertThat(session("w3").entry.runs()).isEmpty();
        advance(1_200);
        assertThat(session("w3").entry.runs()).hasSize(1);
        endOn("w3", TaskEnd.SUCCEEDED);
        advance(100);
        assertThat(session("w3").health.isQuarantined()).isFalse();
    }

    @Test
    void runAboveItsReservationIsThrottled() {
        JobId job = submit(TEAM, QueuePolicy.BATCH, 1, 1000, 60_000, false);
        advance(100);
        TaskAttemptId attempt = cell.ledger.requireJob(job).tasks[0].attempt();
        renew("w0", List.of(new TaskUsage(attempt, new Resources(1500, 100, 0))));
        assertThat(orders.get("w0")).containsExactly(new WorkerOrder.Throttle(attempt, 1000));
    }

    private JobId submit(
            TeamName team,
            QueuePolicy policy,
            int tasks,
            long processor,
            long expected,
            boolean urgent) {
        JobSpecification specification = specification(tasks, processor, expected, urgent);
        return cell.submit(team, policy, Repetition.IDEMPOTENT, specification);
    }

    private static JobSpecification specification(
            int tasks, long processor, long expected, boolean urgent) {
        return new JobSpecification(
                "name" + processor,
                tasks,
                new Resources(processor, 100, 0),
                expected,
                urgent,
                "payload");
    }

    /**
     * Advances the time. Workers carry out orders at once and renew after every 40 milliseconds.
     */
    private void advance(long milliseconds) {
        for (long end = cell.now + milliseconds; cell.now < end; ) {
            cell.advance(40);
            for (int number = 0; number < 4; number++) {
                renew("w" + number, List.of());
            }
        }
    }

    private void renew(String id, List<TaskUsage> usage) {
        WorkerSession worker = session(id);
        List<TaskReport> ended = reports.computeIfAbsent(id, key -> new ArrayList<>());
        for (WorkerOrder order : orders.getOrDefault(id, List.of())) {
            if (order instanceof WorkerOrder.Stop || order instanceof WorkerOrder.Checkpoint) {
                ended.add(new TaskReport(order.attempt(), TaskEnd.STOPPED));
            }
        }
        List<TaskAttemptId> running =
                worker.entry.runs().stream()
                        .map(TaskEntry::attempt)
                        .filter(run -> ended.stream().noneMatch(end -> end.attempt().equals(run)))
                        .toList();
        RenewWorker renewal =
                new RenewWorker(
                        new WorkerId(id),
                        worker.entry.epoch,
                        0,
                        running,
                        List.copyOf(ended),
                        usage);
        WorkerRenewed renewed = (WorkerRenewed) cell.exchange(renewal);
        ended.clear();
        orders.put(id, renewed.orders());
    }

    private void endAll(JobId job) {
        for (TaskEntry task : cell.ledger.requireJob(job).tasks) {
            end(task, TaskEnd.SUCCEEDED);
        }
    }

    private void endOn(String worker, TaskEnd end) {
        session(worker).entry.runs().forEach(task -> end(task, end));
    }

    private void end(TaskEntry task, TaskEnd end) {
        if (task.worker != null) {
            reports.get(task.worker.id().value()).add(new TaskReport(task.attempt(), end));
        }
    }

    private int running(JobId job) {
        return cell.ledger.status(job).orElseThrow().running();
    }

    private List<String> workersOf(JobId job) {
        return List.of(cell.ledger.requireJob(job).tasks).stream()
                .filter(task -> task.worker != null)
                .map(task -> task.worker.id().value())
                .collect(Collectors.toList());
    }

    private WorkerSession session(String id) {
        return cell.duty.session(new WorkerId(id));
    }
}
