package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RunTimeMeanTest {
    /** Ten small runs of 400 ms end for each wide one of 1,500 ms. */
    @ParameterizedTest(name = "wide runs of {0}")
    @CsvSource({"16000, 1077", "1000, 500"})
    void wideRunsCountByTheirSize(long wideProcessorMillis, double expected) {
        RunTimeMean mean = new RunTimeMean();
        for (int round = 0; round < 100; round++) {
            for (int small = 0; small < 10; small++) {
                mean.add(1_000, 400);
            }
            mean.add(wideProcessorMillis, 1_500);
        }
        assertThat(mean.milliseconds()).isCloseTo(expected, within(40.0));
    }
}
