package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CellRandomisedTest {
    private static final long MILLISECONDS = 120_000;

    @ParameterizedTest(name = "seed {0}, {1} replicas")
    @CsvSource({"1, 3", "2, 3", "3, 3", "4, 5", "5, 5"})
    void promisesHoldUnderFaults(long seed, int replicas) {
        Map<String, Integer> met = new CellRun(seed, replicas).run(MILLISECONDS);
        System.out.println("event=cell_run seed=" + seed + " met=\"" + met + "\"");
        assertThat(met)
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
