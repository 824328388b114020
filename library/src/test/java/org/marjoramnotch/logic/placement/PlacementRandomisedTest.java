package org.marjoramnotch.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PlacementRandomisedTest {
    private static final long RUN_MILLISECONDS = 60_000;
    private static final long SETTLE_MILLISECONDS = 60_000;

    /**
     * Returns the seeds, counted from 1; the system property {@code marjoramnotch.seeds} sets their
     * number.
     */
    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("marjoramnotch.seeds", 8));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void faultsNeitherViolateGuaranteesNorLeakSlots(long seed) {
        PlacementSimulation simulation = new PlacementSimulation(seed);

        simulation.run(RUN_MILLISECONDS);
        simulation.settle(SETTLE_MILLISECONDS);

        assertThat(simulation.cell().usage.total()).as("slots in use at the end").isZero();
        assertThat(simulation.unanswered()).as("callers without an answer").isZero();
        assertThat(simulation.answered()).as("callers answered").isGreaterThan(500);
    }
}
