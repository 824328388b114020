package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationSimulationTest {
    private static final Map<CellFault, Long> TOTAL = new EnumMap<>(CellFault.class);

    /** The seed modulo four selects the tolerable losses and the number of VMs. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void readsShowWhatWasConfirmedBefore(long seed) {
        ConfigurationSimulationRun run =
                ConfigurationSoak.create(seed, EnumSet.allOf(CellFault.class));
        run.run(20_000).forEach((fault, count) -> TOTAL.merge(fault, count, Long::sum));
        assertThat(run.confirmations()).isGreaterThan(100);
        assertThat(run.reads()).isGreaterThan(500);
    }

    @AfterAll
    static void everyFaultOccurred() {
        assertThat(TOTAL).containsOnlyKeys(EnumSet.allOf(CellFault.class));
    }
}
