package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CellRandomisedTest {
    @ParameterizedTest(name = "seed {0}, {1} replicas, {2} ms")
    @CsvSource({
        "1, 3, 120000",
        "2, 3, 120000",
        "3, 3, 120000",
        "4, 5, 120000",
        "5, 5, 120000",
        "102, 3, 170000"
    })
    void invariantsHoldUnderFaults(long seed, int replicas, long milliseconds) {
        Map<String, Integer> occurrences = new CellSimulationRun(seed, replicas).run(milliseconds);
        System.out.println("event=cell_run seed=" + seed + " met=\"" + occurrences + "\"");
        assertThat(occurrences)
                .containsKeys(
                        "death",
                        "pause",
                        "cut",
                        "disk lost",
                        "leader elected",
                        "membership change",
                        "worker restart")
                .allSatisfy((what, times) -> assertThat(times).as(what).isPositive());
    }
}
