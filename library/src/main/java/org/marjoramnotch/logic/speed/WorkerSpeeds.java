package org.marjoramnotch.logic.speed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramnotch.model.identifier.WorkerId;

/**
 * Estimates the relative run times of workers whose hardware differs by kind. The speed of a kind
 * is learned from the runs on all of its workers, so that it is known before most workers have run
 * anything; each worker has a deviation of its own, so that a worker that turns slow stands out.
 */
public final class WorkerSpeeds {
    /** Weight of one comparison for a worker; twenty outweigh the differences between tasks. */
    private static final double WORKER_LEARNING_RATE = 0.15;

    /** Smallest weight of one comparison for a kind; the last hundred comparisons count. */
    private static final double KIND_LEARNING_RATE = 0.01;

    /** Number of comparisons at which the assumption that all kinds are equal has half the say. */
    private static final int KIND_PRIOR_COMPARISONS = 10;

    /** Largest deviation counted for a single run: a factor of eight from the expected time. */
    private static final double MAXIMUM_DEVIATION = Math.log(8);

    private record KindSpeed(double slowness, long comparisons) {
        static final KindSpeed UNKNOWN = new KindSpeed(0, 0);
    }

    private final Map<WorkerId, Double> deviations = new HashMap<>();
    private final Map<String, KindSpeed> kinds = new HashMap<>();

    /**
     * Returns the natural logarithm of a worker's relative run time: 0 is average, 0.7 is twice the
     * time, negative values are faster.
     */
    public double slowness(WorkerId worker, String kind) {
        return kinds.getOrDefault(kind, KindSpeed.UNKNOWN).slowness()
                + deviations.getOrDefault(worker, 0.0);
    }

    /**
     * Compares a run with earlier runs that did about the same work. Both sides learn, since fast
     * workers end first: if only later runs were judged by earlier ones, all estimates would rise.
     */
    public void compare(TimedRun run, List<TimedRun> others) {
        if (others.isEmpty()) {
            return;
        }
        double expected =
                others.stream().mapToDouble(this::normalizedRunTime).average().orElseThrow();
        double difference = normalizedRunTime(run) - expected;
        double bounded = Math.max(-MAXIMUM_DEVIATION, Math.min(MAXIMUM_DEVIATION, difference));
        learn(run, bounded);
        others.forEach(other -> learn(other, -bounded / others.size()));
    }

    private double normalizedRunTime(TimedRun run) {
        return run.logRunTime() - slowness(run.worker(), run.kind());
    }

    private void learn(TimedRun run, double difference) {
        deviations.merge(run.worker(), WORKER_LEARNING_RATE * difference, Double::sum);
        KindSpeed known = kinds.getOrDefault(run.kind(), KindSpeed.UNKNOWN);
        double rate =
                Math.max(KIND_LEARNING_RATE, 1.0 / (KIND_PRIOR_COMPARISONS + known.comparisons()));
        kinds.put(
                run.kind(),
                new KindSpeed(known.slowness() + rate * difference, known.comparisons() + 1));
    }
}
