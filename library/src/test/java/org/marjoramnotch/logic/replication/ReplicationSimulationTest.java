package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReplicationSimulationTest {
    private static final Coverage TOTAL = new Coverage();

    @ParameterizedTest(name = "seed {0}, {1} replicas, election timeout spread {2} ms")
    @CsvSource({
        "1, 3, 1000",
        "2, 3, 1000",
        "3, 3, 20",
        "4, 3, 200",
        "5, 5, 1000",
        "6, 5, 1000",
        "7, 5, 20",
        "8, 5, 200"
    })
    void safetyHoldsUnderFaults(long seed, int replicas, long spreadMilliseconds) {
        TOTAL.add(
                ReplicationSoak.run(
                        new SimulationSettings(seed, replicas, 60_000, spreadMilliseconds)));
    }

    @AfterAll
    static void everyFaultOccurred() {
        assertThat(Arrays.asList(CoveredEvent.values()))
                .as("coverage %s", TOTAL)
                .allSatisfy(event -> assertThat(TOTAL.of(event)).as("%s", event).isPositive());
    }
}
