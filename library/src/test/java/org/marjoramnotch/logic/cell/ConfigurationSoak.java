package org.marjoramnotch.logic.cell;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Runs cells whose configurations are changed and read from the command line: {@code --seed FIRST
 * --steps MILLISECONDS --runs COUNT --faults FAULT,FAULT}.
 */
public final class ConfigurationSoak {
    private static final int[][] LOSSES_AND_VMS = {{1, 4}, {2, 5}, {1, 5}, {2, 6}};

    private ConfigurationSoak() {}

    /** Runs all seeds and prints those that fail. */
    public static void main(String[] arguments) {
        List<String> options = List.of(arguments);
        long first = CellSoak.option(options, "--seed", 1);
        long steps = CellSoak.option(options, "--steps", 60_000);
        long count = CellSoak.option(options, "--runs", 1);
        Set<CellFault> faults = faults(options);
        Map<CellFault, Long> total = new EnumMap<>(CellFault.class);
        long failed = 0;
        long confirmations = 0;
        long reads = 0;
        for (long seed = first; seed < first + count; seed++) {
            ConfigurationSimulationRun run = create(seed, faults);
            try {
                run.run(steps).forEach((fault, times) -> total.merge(fault, times, Long::sum));
            } catch (AssertionError | RuntimeException failure) {
                failed++;
                System.out.println(
                        "event=seed_failed seed=%d at=%d cause=%s"
                                .formatted(seed, run.time(), failure));
            }
            confirmations += run.confirmations();
            reads += run.reads();
        }
        System.out.println(
                "event=configuration_soak_ended seeds=%d failed=%d confirmations=%d reads=%d %s"
                        .formatted(count, failed, confirmations, reads, total));
        if (failed > 0) {
            throw new AssertionError("Reads or the group failed with %d seeds".formatted(failed));
        }
    }

    private static Set<CellFault> faults(List<String> options) {
        int position = options.indexOf("--faults");
        return position < 0
                ? EnumSet.allOf(CellFault.class)
                : Arrays.stream(options.get(position + 1).split(","))
                        .map(CellFault::valueOf)
                        .collect(Collectors.toSet());
    }

    /** Creates a run; its seed also selects the tolerable losses and the number of VMs. */
    static ConfigurationSimulationRun create(long seed, Set<CellFault> faults) {
        int[] lossesAndVms = LOSSES_AND_VMS[Math.toIntExact(seed % LOSSES_AND_VMS.length)];
        return new ConfigurationSimulationRun(seed, lossesAndVms[0], lossesAndVms[1], faults);
    }
}
