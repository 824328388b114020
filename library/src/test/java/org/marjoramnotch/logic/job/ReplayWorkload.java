package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;

/** Generates the jobs of a replay, which are the same for each queue order that is compared. */
final class ReplayWorkload {
    /** Time of the last submission. */
    static final long LAST_ARRIVAL_MILLISECONDS = 400_000;

    /** Mean requested processor use, as a fraction of the capacity of all workers. */
    private static final double LOAD = 1.15;

    /** A job that is submitted at a given time. */
    record Arrival(long atMilliseconds, TeamName team, QueuePolicy policy, JobSpecification job) {}

    private ReplayWorkload() {}

    static List<Arrival> generate(ReplayProfile profile, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Arrival> arrivals = new ArrayList<>();
        double totalProcessorMillis =
                ReplayProfile.WORKERS * (double) profile.worker.processorMillis();
        double remainingWork = 0;
        for (long at = 0; at < LAST_ARRIVAL_MILLISECONDS; at += 100) {
            remainingWork += LOAD * totalProcessorMillis * 100;
            while (remainingWork > 0) {
                Arrival arrival = arrival(profile, at, random);
                JobSpecification job = arrival.job();
                long runs = FakePayload.parse(job.payload()).runMilliseconds();
                remainingWork -= (double) job.perTask().processorMillis() * job.tasks() * runs;
                arrivals.add(arrival);
            }
        }
        return arrivals;
    }

    private static Arrival arrival(ReplayProfile profile, long at, UniformRandomProvider random) {
        List<TeamName> teams = List.copyOf(ReplayProfile.SHARES.keySet());
        TeamName team =
                random.nextBoolean()
                        ? new TeamName("large")
                        : teams.get(random.nextInt(teams.size()));
        int kind = random.nextInt(100);
        QueuePolicy policy = kind < 10 ? QueuePolicy.GANG : QueuePolicy.BATCH;
        boolean urgent = policy == QueuePolicy.BATCH && random.nextInt(10) == 0;
        int tasks = urgent ? 1 : 1 + random.nextInt(16);
        long runs = (long) (urgent ? 1_000 : 8_000 * randomFactor(random, 3));
        Resources size =
                new Resources(
                        requestedAmount(profile.worker.processorMillis(), random),
                        requestedAmount(profile.worker.memoryMegabytes(), random),
                        0);
        JobSpecification job =
                new JobSpecification(
                        "work" + random.nextInt(8) + (urgent ? "u" : ""),
                        tasks,
                        size,
                        (long) (runs * randomFactor(random, 10)),
                        urgent,
                        new FakePayload(runs, random.nextInt(100) == 0 ? 100 : 0).text());
        return new Arrival(at, team, policy, job);
    }

    /**
     * Returns the requested amount of one resource: a sixteenth of the capacity of a worker, off by
     * a factor of up to ten in either direction.
     */
    private static long requestedAmount(long whole, UniformRandomProvider random) {
        return Math.max(1, Math.min(whole, (long) (whole / 16.0 * randomFactor(random, 10))));
    }

    private static double randomFactor(UniformRandomProvider random, double maximum) {
        return Math.pow(maximum, 2 * random.nextDouble() - 1);
    }
}
