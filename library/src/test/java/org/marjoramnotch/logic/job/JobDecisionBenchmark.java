package org.marjoramnotch.logic.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.EndTask;
import org.marjoramnotch.model.command.RegisterWorker;
import org.marjoramnotch.model.command.StartTasks;
import org.marjoramnotch.model.command.SubmitJob;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.RenewWorker;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.Repetition;

/**
 * Measures the time of a decision and the heap of a running task. Each round ends runs and submits
 * as many jobs of one task, while the workers are full and further tasks are queued.
 */
final class JobDecisionBenchmark implements LeaderOutput {
    private static final int ENDS_PER_TICK = 40;

    private final Deque<Command> log = new ArrayDeque<>();
    private final TestConfiguration configuration = new TestConfiguration();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
    private final List<TaskEntry> running = new ArrayList<>();
    private final int teams;
    private final TeamUsage usage;
    private final JobLedger ledger;
    private JobDuty duty;
    private long now;
    private long lastJob;

    private JobDecisionBenchmark(int teams) {
        this.teams = teams;
        for (int team = 0; team < teams; team++) {
            configuration.with("t" + team, 1 + team % 7, 1_000_000);
        }
        usage = configuration.usage();
        ledger = new JobLedger(configuration, usage);
        duty = newDuty();
    }

    /** Measures the current size and the size that is expected in two years. */
    public static void main(String[] arguments) {
        new JobDecisionBenchmark(6).measure(32, 750, 200);
        new JobDecisionBenchmark(540).measure(1_700, 40_000, 10_000);
    }

    @Override
    public void propose(Command command) {
        log.add(command);
    }

    @Override
    public void reply(RequestHandle handle, CellReply reply) {}

    private void measure(int workers, int runningTasks, int queuedTasks) {
        registerWorkers(workers);
        long before = usedHeap();
        while (ledger.queuedCount() < runningTasks + queuedTasks) {
            submit();
        }
        long heapOfQueued = usedHeap() - before;
        while (ledger.runningCount() < runningTasks && tick(null)) {
            now += 20;
        }
        long heapOfRunning = usedHeap() - before;
        collectRunning();
        Histogram ticks = new Histogram(3);
        long nanoseconds = 0;
        long decisions = 0;
        for (int round = 0; round < 3_000; round++) {
            endRuns();
            now += 20;
            int startedBefore = ledger.runningCount();
            long start = System.nanoTime();
            tick(ticks);
            long spent = System.nanoTime() - start;
            if (round >= 1_000) {
                nanoseconds += spent;
                decisions += ledger.runningCount() - startedBefore;
            }
        }
        System.out.printf(
                "workers %d teams %d running %d queued %d: %d ns per decision with its commit,"
                        + " decision tick p50 %d us p99 %d us; renewal %d ns;"
                        + " heap of all tasks %d KB queued, %d KB running, %d bytes per task%n",
                workers,
                teams,
                ledger.runningCount(),
                ledger.queuedCount(),
                nanoseconds / Math.max(1, decisions),
                ticks.getValueAtPercentile(50) / 1_000,
                ticks.getValueAtPercentile(99) / 1_000,
                renewalNanoseconds(),
                heapOfQueued / 1_000,
                heapOfRunning / 1_000,
                heapOfRunning / (runningTasks + queuedTasks));
    }

    private JobDuty newDuty() {
        JobSettings settings =
                JobSettings.builder()
                        .lease(1_000_000_000, 1, 500)
                        .maximumQueuedTasks(1 << 30)
                        .build();
        return new JobDuty(settings, configuration, ledger, usage, random, now);
    }

    private void registerWorkers(int workers) {
        for (int number = 0; number < workers; number++) {
            WorkerDescription description =
                    new WorkerDescription(
                            new WorkerId("w" + number),
                            new Resources(64_000, 128_000, 0),
                            new AvailabilityZone("z" + number % 28),
                            new RackName("r" + number / 6));
            apply(new RegisterWorker(description));
            renew(description.worker());
        }
    }

    private void renew(WorkerId worker) {
        WorkerSession session = duty.session(worker);
        RenewWorker renewal =
                new RenewWorker(
                        worker,
                        session.entry.epoch,
                        0,
                        session.entry.runs().stream().map(TaskEntry::attempt).toList(),
                        List.of(),
                        List.of());
        duty.onRequest(now, new RequestHandle("bench", now), renewal, this);
    }

    private long renewalNanoseconds() {
        int renewals = 20_000;
        for (int number = 0; number < renewals; number++) {
            renew(new WorkerId("w" + number % ledger.workerCount()));
        }
        long start = System.nanoTime();
        for (int number = 0; number < renewals; number++) {
            renew(new WorkerId("w" + number % ledger.workerCount()));
        }
        return (System.nanoTime() - start) / renewals;
    }

    private void submit() {
        TeamName team = new TeamName("t" + random.nextInt(teams));
        int millis = 500 * (1 + random.nextInt(10));
        JobSpecification job =
                new JobSpecification(
                        "work" + random.nextInt(4),
                        1,
                        new Resources(millis, 2L * millis, 0),
                        1_000L * (1 + random.nextInt(20)),
                        random.nextInt(20) == 0,
                        "payload");
        lastJob++;
        apply(
                new SubmitJob(
                        new JobId("j%016x%016x".formatted(lastJob, lastJob)),
                        Optional.empty(),
                        TestConfiguration.queueName(QueuePolicy.BATCH, Repetition.ONCE),
                        team,
                        Optional.of(TestConfiguration.key(team)),
                        job));
    }

    private void endRuns() {
        for (int ends = 0; ends < ENDS_PER_TICK; ends++) {
            TaskEntry task = running.remove(random.nextInt(running.size()));
            apply(new EndTask(task.attempt(), TaskEnd.SUCCEEDED));
            submit();
        }
    }

    private boolean tick(Histogram ticks) {
        long start = System.nanoTime();
        duty.onTick(now, this);
        if (ticks != null) {
            ticks.recordValue(System.nanoTime() - start);
        }
        boolean any = !log.isEmpty();
        while (!log.isEmpty()) {
            apply(log.remove());
        }
        return any;
    }

    private void apply(Command command) {
        CommandResult result;
        if (command instanceof StartTasks start) {
            result = ledger.apply(start);
            start.placements()
                    .forEach(placed -> running.add(ledger.task(placed.attempt().task()).get()));
        } else if (command instanceof EndTask end) {
            result = ledger.apply(end);
        } else if (command instanceof SubmitJob submit) {
            result = ledger.apply(submit);
        } else {
            result = ledger.apply((RegisterWorker) command);
        }
        duty.onApplied(now, command, result, this);
    }

    private void collectRunning() {
        running.clear();
        ledger.workers().forEach(worker -> running.addAll(worker.runs()));
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
