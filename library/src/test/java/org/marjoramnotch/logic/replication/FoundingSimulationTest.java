package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** The number of seeds can be raised for a longer run. */
class FoundingSimulationTest {
    private static final int SEEDS = Integer.getInteger("founding.seeds", 100);

    /** Guards against founders that were killed early and never form a group again. */
    @Test
    void groupFormsAfterKillsInItsFirstSeconds() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertThat(run(seed, false)).as("seed %s", seed).isTrue();
        }
    }

    @Test
    void lossOfDiskDuringFoundingMakesNoSecondGroup() {
        long formed = LongStream.rangeClosed(1, SEEDS).filter(seed -> run(seed, true)).count();
        System.out.printf("event=founding_with_lost_disk seeds=%d formed=%d%n", SEEDS, formed);
        assertThat(formed).isPositive();
    }

    private static boolean run(long seed, boolean losesDisk) {
        try {
            return new FoundingSimulation(seed).run(losesDisk);
        } catch (AssertionError | RuntimeException failure) {
            throw new AssertionError("seed " + seed + ", disk lost: " + losesDisk, failure);
        }
    }
}
