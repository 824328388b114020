package org.marjoramnotch.logic.speed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.identifier.WorkerId;

class WorkerSpeedsTest {
    private static final int TASKS = 10;

    private final WorkerSpeeds speeds = new WorkerSpeeds();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);

    /** A task that ends on a worker; every thirtieth takes seven times as long. */
    private TimedRun run(int worker, String kind, double speed) {
        double work = 600 * (0.5 + random.nextDouble()) * (random.nextInt(30) == 0 ? 7 : 1);
        return new TimedRun(new WorkerId("w" + worker), kind, Math.log(work / speed));
    }

    /** Runs steps on random workers, of which the first third is of the fast kind. */
    private void runSteps(int steps, int workers, double fast, double slow) {
        for (int step = 0; step < steps; step++) {
            List<TimedRun> runs = new ArrayList<>();
            for (int task = 0; task < TASKS; task++) {
                int worker = random.nextInt(workers);
                boolean first = worker < workers / 3;
                runs.add(run(worker, first ? "b" : "a", first ? fast : slow));
            }
            runs.sort((one, other) -> Double.compare(one.logRunTime(), other.logRunTime()));
            for (int ended = 1; ended < TASKS; ended++) {
                speeds.compare(runs.get(ended), runs.subList(0, ended));
            }
        }
    }

    /**
     * Guards against short work on slow workers in the first seconds: with one estimate for each
     * worker, a worker that has run nothing counts as average.
     */
    @ParameterizedTest
    @CsvSource({"1.7, 0.7", "1.25, 0.8", "0.7, 1.7"})
    void workerWithoutRunsHasTheSpeedOfItsKind(double first, double second) {
        runSteps(60, 240, first, second);

        double difference =
                speeds.slowness(new WorkerId("new"), "a")
                        - speeds.slowness(new WorkerId("new"), "b");

        double expected = Math.log(first / second);
        assertThat(difference * Math.signum(expected))
                .isBetween(Math.abs(expected) * 0.6, Math.abs(expected) * 1.4);
    }

    /**
     * Guards against estimates that rise with each run: siblings end in the order of their run
     * times, so that each one was slower than all before it.
     */
    @Test
    void workersOfOneSpeedStayAverageHoweverManyRunsTheyHave() {
        runSteps(400, 30, 1, 1);

        for (int worker = 0; worker < 30; worker++) {
            String kind = worker < 10 ? "b" : "a";
            assertThat(speeds.slowness(new WorkerId("w" + worker), kind)).isBetween(-0.6, 0.6);
        }
        assertThat(speeds.slowness(new WorkerId("new"), "a")).isBetween(-0.1, 0.1);
    }

    /** Guards against a kind that hides a worker of its own that turned slow. */
    @Test
    void slowWorkerStandsOutFromItsKind() {
        runSteps(60, 30, 1, 1);
        for (int step = 0; step < 6; step++) {
            List<TimedRun> siblings = List.of(run(20, "a", 1), run(21, "a", 1));
            speeds.compare(run(22, "a", 0.2), siblings);
        }

        assertThat(speeds.slowness(new WorkerId("w22"), "a"))
                .isGreaterThan(speeds.slowness(new WorkerId("w20"), "a") + 0.5);
    }
}
