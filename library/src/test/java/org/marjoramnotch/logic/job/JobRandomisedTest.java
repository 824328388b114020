package org.marjoramnotch.logic.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.TaskId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.message.CancelJobRequest;
import org.marjoramnotch.model.message.Credential;
import org.marjoramnotch.model.message.JobAnswer;
import org.marjoramnotch.model.message.SubmitJobRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.Repetition;

/**
 * Simulates jobs for a long time with random faults of every kind, and checks the invariants
 * against what the simulated workers actually run. The property {@code job.seeds} sets the number
 * of seeds, {@code job.firstSeed} the first one.
 */
class JobRandomisedTest {
    private static final int WORKERS = 8;
    private static final long FAULT_PHASE_MILLISECONDS = 120_000;
    private static final long MAXIMUM_DRAIN_MILLISECONDS = 1_500_000;
    private static final long TICK_MILLISECONDS = 20;
    private static final Map<TeamName, Integer> LIMITS =
            Map.of(new TeamName("a"), 6, new TeamName("b"), 10, new TeamName("c"), 12);

    private final List<FakeWorker> workers = new ArrayList<>();
    private final Map<JobId, TeamName> teams = new HashMap<>();
    private UniformRandomProvider random;
    private TestCell cell;
    private FakeNetwork network;
    private long now;
    private long leaderUpAt;
    private double leaderClockRate = 1;

    static LongStream seeds() {
        long first = Long.getLong("job.firstSeed", 1);
        return LongStream.range(first, first + Long.getLong("job.seeds", 4));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHoldUnderFaults(long seed) {
        prepare(seed);
        while (now < FAULT_PHASE_MILLISECONDS) {
            injectFault();
            submitRandomly();
            step();
        }
        network.faulty = false;
        long drainEnd = now + MAXIMUM_DRAIN_MILLISECONDS;
        while (cell.ledger.runningCount() + cell.ledger.queuedCount() > 0 && now < drainEnd) {
            if (now % 5_000 == 0) {
                cell.ledger.liveJobs().forEach(this::cancelService);
            }
            step();
        }
        System.out.println("seed " + seed + " ended at " + now + " " + cell.coverage);
        assertThat(cell.ledger.liveJobs())
                .extracting(job -> job.policy + " " + job.status() + job.specification)
                .isEmpty();
        assertThat(cell.usage.total()).isZero();
        assertThat(cell.coverage)
                .containsKeys(
                        "CancelJob",
                        "EndTask FAILED",
                        "EndTask NOT_STARTED",
                        "EndTask STOPPED",
                        "ExpireWorker",
                        "leader change",
                        "restore",
                        "crash",
                        "pause");
    }

    private void prepare(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        TestConfiguration configuration = new TestConfiguration();
        LIMITS.forEach((team, limit) -> configuration.with(team.value(), limit / 3, limit));
        cell = new TestCell(configuration, JobSettings.defaults(), seed);
        network = new FakeNetwork(cell, random, 4);
        for (int number = 0; number < WORKERS; number++) {
            WorkerDescription description =
                    new WorkerDescription(
                            new WorkerId("w" + number),
                            new Resources(4_000, 4_000, number % 2),
                            new AvailabilityZone("z" + number % 4),
                            new RackName("r" + number % 3));
            int failingPercent = number == 0 ? 100 : 1;
            workers.add(new FakeWorker(description, network, random, failingPercent));
        }
    }

    private void step() {
        now += TICK_MILLISECONDS;
        if (now >= leaderUpAt) {
            network.leaderUp = true;
            cell.now = Math.max(cell.now, (long) (now * leaderClockRate));
            cell.duty.onTick(cell.now, cell);
            for (int left = random.nextInt(30); left > 0 && !cell.log.isEmpty(); left--) {
                cell.commitFirst();
            }
        }
        network.tick(now);
        workers.forEach(worker -> worker.tick(now));
        checkReportedOutcomes();
    }

    private void injectFault() {
        if (chance(700)) {
            worker().crash(random.nextInt(20_000));
            countCoverage("crash");
        }
        if (chance(400)) {
            worker().pause(random.nextInt(25_000));
            worker().pauseAfterPromptAnswer(12_000 + random.nextInt(12_000));
            countCoverage("pause");
        }
        if (chance(400)) {
            changeLeader();
        }
        if (chance(200) && !teams.isEmpty()) {
            int cancellations = 1 + random.nextInt(10);
            List<JobId> jobs = new ArrayList<>(new TreeSet<>(teams.keySet()));
            for (int i = 0; i < cancellations; i++) {
                JobId job = jobs.get(random.nextInt(jobs.size()));
                cancel(job, teams.get(job));
            }
        }
    }

    /** Drops the commands that are not committed. The clock of the next leader differs. */
    private void changeLeader() {
        countCoverage("leader change");
        for (int kept = random.nextInt(5); kept > 0 && !cell.log.isEmpty(); kept--) {
            cell.commitFirst();
        }
        cell.log.clear();
        leaderClockRate = 0.99 + 0.02 * random.nextDouble();
        leaderUpAt = now + random.nextInt(3_000);
        network.leaderUp = false;
        cell.now = (long) (leaderUpAt * leaderClockRate);
        if (random.nextBoolean()) {
            countCoverage("restore");
            cell.restore();
        } else {
            cell.startTerm();
        }
    }

    private void submitRandomly() {
        if (!chance(10)) {
            return;
        }
        List<TeamName> names = LIMITS.keySet().stream().sorted().toList();
        TeamName team = names.get(random.nextInt(names.size()));
        QueuePolicy[] policies = {
            QueuePolicy.BATCH, QueuePolicy.BATCH, QueuePolicy.GANG, QueuePolicy.SERVICE
        };
        QueuePolicy policy = policies[random.nextInt(policies.length)];
        Repetition repetition = Repetition.values()[random.nextInt(2)];
        FakePayload payload =
                new FakePayload(
                        100 + random.nextInt(chance(5) ? 30_000 : 5_000),
                        chance(10) ? 100 : random.nextInt(3));
        JobSpecification specification =
                new JobSpecification(
                        "name" + random.nextInt(5),
                        1 + random.nextInt(policy == QueuePolicy.SERVICE ? 2 : 5),
                        new Resources(
                                100 + random.nextInt(2_500),
                                100 + random.nextInt(2_500),
                                chance(8) ? 1 : 0),
                        payload.runMilliseconds() / (1 + random.nextInt(10)),
                        chance(4),
                        payload.text());
        network.send(
                new SubmitJobRequest(
                        Optional.of(TestConfiguration.credential(team)),
                        Optional.empty(),
                        TestConfiguration.queueName(policy, repetition),
                        specification),
                reply -> {
                    if (reply instanceof JobAnswer answer) {
                        teams.put(answer.status().job(), team);
                    }
                });
    }

    private void cancelService(JobEntry job) {
        if (job.policy == QueuePolicy.SERVICE) {
            cancel(job.id, job.team);
        }
    }

    private void cancel(JobId job, TeamName team) {
        Optional<Credential> credential = Optional.of(TestConfiguration.credential(team));
        network.send(new CancelJobRequest(credential, job), reply -> {});
    }

    private void checkReportedOutcomes() {
        Map<TaskId, WorkerId> places = new HashMap<>();
        Map<TeamName, Integer> running = new HashMap<>();
        for (FakeWorker worker : workers) {
            Resources used = Resources.NONE;
            for (Map.Entry<TaskAttemptId, FakeWorker.FakeRun> run : worker.liveRuns().entrySet()) {
                TaskId task = run.getKey().task();
                used = used.plus(run.getValue().reserved);
                assertThat(places.put(task, worker.description.worker())).as("%s", task).isNull();
                cell.ledger
                        .job(task.job())
                        .ifPresent(job -> running.merge(job.team, 1, Integer::sum));
            }
            assertThat(worker.description.capacity().holds(used)).as("%s", used).isTrue();
        }
        running.forEach((team, count) -> assertThat(count).isLessThanOrEqualTo(LIMITS.get(team)));
        network.starts.forEach(this::checkStartedOnce);
    }

    /**
     * Checks that a task that must run at most once was not started twice. Tasks of services are
     * always replaced, whatever the repetition of their queue is.
     */
    private void checkStartedOnce(TaskId task, int starts) {
        boolean once =
                cell.ledger
                        .job(task.job())
                        .filter(job -> job.repetition == Repetition.ONCE)
                        .filter(job -> job.policy != QueuePolicy.SERVICE)
                        .isPresent();
        assertThat(once && starts > 1).as("%s started %d times", task, starts).isFalse();
    }

    private FakeWorker worker() {
        return workers.get(random.nextInt(workers.size()));
    }

    private boolean chance(int oneIn) {
        return random.nextInt(oneIn) == 0;
    }

    private void countCoverage(String event) {
        cell.coverage.merge(event, 1, Integer::sum);
    }
}
