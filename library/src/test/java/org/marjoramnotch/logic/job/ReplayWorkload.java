package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;

/** Jobs of a replay, the same for each order that is compared. */
final class ReplayWorkload {
    /** New work comes until then. */
    static final long LAST_ARRIVAL_MILLISECONDS = 400_000;

    /** Processor use asked for in the mean, as part of what all workers have. */
    private static final double LOAD = 1.15;

    /** A job to hand in. */
    record Arrival(long atMilliseconds, TeamName team, QueuePolicy policy, JobSpecification job) {}

    private ReplayWorkload() {}

    static List<Arrival> generate(ReplayProfile profile, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Arrival> arrivals = new ArrayList<>();
        double fleet = ReplayProfile.WORKERS * (double) profile.worker.processorMillis();
        double owed = 0;
        for (long at = 0; at < LAST_ARRIVAL_MILLISECONDS; at += 100) {
            owed += LOAD * fleet * 100;
            while (owed > 0) {
                Arrival arrival = arrival(profile, at, random);
                JobSpecification job = arrival.job();
                long runs = FakePayload.parse(job.payload()).runMilliseconds();
                owed -= (double) job.perTask().processorMillis() * job.tasks() * runs;
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
        long runs = (long) (urgent ? 1_000 : 8_000 * wrongBy(random, 3));
        Resources size =
                new Resources(
                        part(profile.worker.processorMillis(), random),
                        part(profile.worker.memoryMegabytes(), random),
                        0);
        JobSpecification job =
                new JobSpecification(
                        "work" + random.nextInt(8) + (urgent ? "u" : ""),
                        tasks,
                        size,
                        (long) (runs * wrongBy(random, 10)),
                        urgent,
                        new FakePayload(runs, random.nextInt(100) == 0 ? 100 : 0).text());
        return new Arrival(at, team, policy, job);
    }

    /** Returns what is asked of one resource: a sixteenth, wrong by up to ten times. */
    private static long part(long whole, UniformRandomProvider random) {
        return Math.max(1, Math.min(whole, (long) (whole / 16.0 * wrongBy(random, 10))));
    }

    private static double wrongBy(UniformRandomProvider random, double most) {
        return Math.pow(most, 2 * random.nextDouble() - 1);
    }
}
