package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.identifier.JobId;

/** Guards against short work that is late while wide work of lower priority fills its pool. */
class PreemptionReplayTest {
    private static final int WORKERS = 40;
    private static final int WIDE_STEPS = 30;
    private static final int WIDE_TASKS = 16;
    private static final int SHORT_SUBMISSIONS = 80;
    private static final long SHORT_INTERVAL_MILLISECONDS = 150;

    /** Core time of the wide work, in core-milliseconds. */
    private static final long WIDE_WORK = 5_000L * WIDE_STEPS * WIDE_TASKS;

    private record Result(int inTime, int stops, long thrownAway, long completeAt) {}

    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3})
    void preemptionServesShortWorkInTime(long seed) {
        Result without = replay(seed, false);
        Result with = replay(seed, true);
        System.out.println(
                "event=preemption_replay seed=%d without=\"%s\" with=\"%s\""
                        .formatted(seed, without, with));

        assertThat(without.inTime()).isLessThan(SHORT_SUBMISSIONS * 8 / 10);
        assertThat(without.stops()).isZero();
        assertThat(with.inTime()).isGreaterThan(SHORT_SUBMISSIONS * 9 / 10);
        assertThat(with.thrownAway()).isLessThan(WIDE_WORK / 20);
    }

    private static Result replay(long seed, boolean preemption) {
        PreemptionCell pool = new PreemptionCell(seed, preemption);
        pool.addWorkers(WORKERS);
        for (int step = 0; step < WIDE_STEPS; step++) {
            pool.submitWide(WIDE_TASKS, false);
        }
        long begin = pool.cell.now();
        pool.cell.run(1_000);
        List<JobId> urgent = new ArrayList<>();
        for (int submission = 0; submission < SHORT_SUBMISSIONS; submission++) {
            urgent.add(pool.submitShort());
            pool.cell.run(SHORT_INTERVAL_MILLISECONDS);
        }
        assertThat(pool.completesAll(60_000)).isTrue();
        pool.checkStops();
        return new Result(
                (int) urgent.stream().filter(pool::isInTime).count(),
                pool.stops().size(),
                pool.thrownAway(),
                pool.cell.now() - begin);
    }
}
