package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.TaskId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.message.CancelJobRequest;
import org.marjoramnotch.model.message.JobAnswer;
import org.marjoramnotch.model.message.SubmitJobRequest;
import org.marjoramnotch.model.rule.Repetition;

/**
 * Replays generated jobs for each {@link ReplayProfile} with its queue order and with the baseline,
 * and prints waiting times, packing and the deviation from the shares. One worker fails all its
 * runs, two workers are lost, and many jobs are cancelled at once. Arguments: first seed and number
 * of seeds.
 */
final class JobReplay {
    private static final long TICK_MILLISECONDS = 10;
    private static final long WORKER_LOSS_MILLISECONDS = 150_000;
    private static final long CANCELLATION_MILLISECONDS = 250_000;
    private static final long END_MILLISECONDS = 600_000;

    private final ReplayMetrics metrics = new ReplayMetrics();
    private final List<FakeWorker> workers = new ArrayList<>();
    private final Map<JobId, ReplayWorkload.Arrival> accepted = new HashMap<>();
    private final Map<TaskId, Long> startedAt = new HashMap<>();
    private final UniformRandomProvider random;
    private final TestCell cell;
    private final FakeNetwork network;
    private int refused;

    private JobReplay(ReplayProfile profile, QueueOrder order, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        TestConfiguration configuration = new TestConfiguration();
        ReplayProfile.SHARES.forEach(
                (team, share) -> configuration.with(team.value(), share, 10_000));
        cell = new TestCell(configuration, JobSettings.builder().order(order).build(), seed);
        network = new FakeNetwork(cell, random, 0);
        network.faulty = false;
        for (int number = 0; number < ReplayProfile.WORKERS; number++) {
            WorkerDescription description =
                    new WorkerDescription(
                            new WorkerId("w" + number),
                            profile.worker,
                            new AvailabilityZone("z" + number % 4),
                            new RackName("r" + number / 6));
            workers.add(new FakeWorker(description, network, random, number == 5 ? 100 : 0));
        }
    }

    /** Prints one line for each profile, order and seed. */
    public static void main(String[] arguments) {
        long first = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
        long seeds = arguments.length > 1 ? Long.parseLong(arguments[1]) : 1;
        for (ReplayProfile profile : ReplayProfile.values()) {
            for (QueueOrder order : List.of(QueueOrder.FIRST_COME, profile.order)) {
                for (long seed = first; seed < first + seeds; seed++) {
                    String report = new JobReplay(profile, order, seed).run(profile, seed);
                    System.out.println(profile + " " + order + " seed " + seed + ": " + report);
                }
            }
        }
    }

    private String run(ReplayProfile profile, long seed) {
        List<ReplayWorkload.Arrival> arrivals = ReplayWorkload.generate(profile, seed);
        int next = 0;
        for (long now = 0; now < END_MILLISECONDS; now += TICK_MILLISECONDS) {
            cell.now = now;
            while (now > 1_000
                    && next < arrivals.size()
                    && arrivals.get(next).atMilliseconds() <= now) {
                submit(arrivals.get(next));
                next++;
            }
            if (now == WORKER_LOSS_MILLISECONDS) {
                workers.get(7).crash(END_MILLISECONDS);
                workers.get(8).crash(END_MILLISECONDS);
            }
            if (now == CANCELLATION_MILLISECONDS) {
                cancelManyJobs();
            }
            step(now);
        }
        recordWaitingTimes();
        return metrics.report()
                + "; jobs %d refused %d left waiting %d"
                        .formatted(accepted.size(), refused, cell.ledger.queuedCount());
    }

    private void step(long now) {
        cell.duty.onTick(now, cell);
        cell.commit();
        network.tick(now);
        cell.commit();
        workers.forEach(worker -> worker.tick(now));
        network.starts.keySet().forEach(task -> startedAt.putIfAbsent(task, now));
        network.starts.clear();
        if (now % 1_000 == 0 && now < ReplayWorkload.LAST_ARRIVAL_MILLISECONDS) {
            metrics.sample(cell.ledger);
        }
    }

    private void submit(ReplayWorkload.Arrival arrival) {
        network.send(
                new SubmitJobRequest(
                        Optional.of(TestConfiguration.credential(arrival.team())),
                        Optional.empty(),
                        TestConfiguration.queueName(arrival.policy(), Repetition.IDEMPOTENT),
                        arrival.job()),
                reply -> {
                    if (reply instanceof JobAnswer answer) {
                        accepted.put(answer.status().job(), arrival);
                    } else {
                        refused++;
                    }
                });
    }

    private void cancelManyJobs() {
        for (JobEntry job : cell.ledger.liveJobs()) {
            if (random.nextInt(10) < 3) {
                accepted.remove(job.id);
                network.send(
                        new CancelJobRequest(
                                Optional.of(TestConfiguration.credential(job.team)), job.id),
                        reply -> {});
            }
        }
    }

    /**
     * Records how long each task waited for its first start. Tasks that never started count as
     * waiting until the end.
     */
    private void recordWaitingTimes() {
        accepted.forEach(
                (job, arrival) -> {
                    for (int number = 0; number < arrival.job().tasks(); number++) {
                        TaskId task = new TaskId(job, number);
                        long started = startedAt.getOrDefault(task, END_MILLISECONDS);
                        long value = Math.max(0, started - arrival.atMilliseconds());
                        (arrival.job().urgent() ? metrics.urgentWaiting : metrics.normalWaiting)
                                .recordValue(value);
                    }
                });
    }
}
