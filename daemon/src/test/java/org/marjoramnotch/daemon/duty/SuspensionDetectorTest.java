package org.marjoramnotch.daemon.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SuspensionDetectorTest {
    private long steady = 1_000;
    private long timeOfDay = 1_700_000_000_000L;
    private long waitWithinReading;

    private final SuspensionDetector detector =
            new SuspensionDetector(() -> steady, this::readTimeOfDay);

    @ParameterizedTest(name = "steady clock +{0} ms, time of day +{1} ms: {2} ms suspended")
    @CsvSource({
        "45, 45, 0",
        "45, 46, 0",
        "45, 5045, 5000",
        "0, 400, 400",
        "45, -2000, 0",
        "5000, 5000, 0"
    })
    void gainOfTimeOfDayIsSuspension(long steadyPassed, long timeOfDayPassed, long suspended) {
        steady += steadyPassed;
        timeOfDay += timeOfDayPassed;
        OptionalLong expected = suspended == 0 ? OptionalLong.empty() : OptionalLong.of(suspended);
        assertThat(detector.detect()).isEqualTo(expected);
        assertThat(detector.detect()).isEmpty();
    }

    @Test
    void waitOfThreadBetweenReadingsIsNoSuspension() {
        waitWithinReading = 200;
        assertThat(detector.detect()).isEmpty();
        assertThat(detector.detect()).isEmpty();
    }

    /** Lets the thread wait once after it has read the time of day. */
    private long readTimeOfDay() {
        long read = timeOfDay;
        steady += waitWithinReading;
        timeOfDay += waitWithinReading;
        waitWithinReading = 0;
        return read;
    }
}
