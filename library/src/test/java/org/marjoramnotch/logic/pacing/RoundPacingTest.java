package org.marjoramnotch.logic.pacing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RoundPacingTest {
    private final RoundPacing pacing = new RoundPacing();

    /** Guards against a leader that spends all its time on rounds when changes come each ms. */
    @ParameterizedTest
    @CsvSource({"0, 1000", "19, 1000", "60, 334", "430, 48", "600, 34", "100000, 34"})
    void roundsEachSecondFallWithTheSizeOfTheFleet(int items, int expectedRounds) {
        int rounds = 0;
        for (long now = 0; now < 1_000; now++) {
            if (pacing.mayRun(now)) {
                pacing.onRound(now, items);
                rounds++;
            }
        }
        assertThat(rounds).isEqualTo(expectedRounds);
    }
}
