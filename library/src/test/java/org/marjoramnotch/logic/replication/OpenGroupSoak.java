package org.marjoramnotch.logic.replication;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Runs simulations of open groups from the command line: {@code FIRST_SEED COUNT
 * [ADDITIONAL_FAULT...]}.
 */
public final class OpenGroupSoak {
    private static final int[][] LOSSES_AND_VMS = {{2, 5}, {2, 6}, {2, 9}, {1, 4}, {1, 5}};
    private static final long FAULT_MILLISECONDS = 60_000;

    private OpenGroupSoak() {}

    /** Runs all seeds and prints those that fail. */
    public static void main(String[] arguments) {
        long first = Long.parseLong(arguments[0]);
        long count = Long.parseLong(arguments[1]);
        Set<OpenGroupFault> additionalFaults =
                Arrays.stream(arguments)
                        .skip(2)
                        .map(OpenGroupFault::valueOf)
                        .collect(Collectors.toCollection(TreeSet::new));
        Map<OpenGroupFault, Long> total = new EnumMap<>(OpenGroupFault.class);
        long failed = 0;
        for (long seed = first; seed < first + count; seed++) {
            try {
                run(seed, additionalFaults)
                        .forEach(
                                (fault, occurrences) -> total.merge(fault, occurrences, Long::sum));
            } catch (AssertionError | RuntimeException failure) {
                failed++;
                System.out.println("event=seed_failed seed=" + seed + " cause=" + failure);
            }
        }
        System.out.println("event=soak_ended seeds=" + count + " failed=" + failed + " " + total);
    }

    /** Runs one seed, which also selects the tolerable losses and the number of VMs. */
    static Map<OpenGroupFault, Long> run(long seed) {
        return run(seed, Set.of());
    }

    /** Runs one seed with faults beside the standard ones. */
    static Map<OpenGroupFault, Long> run(long seed, Set<OpenGroupFault> additionalFaults) {
        int[] lossesAndVms = LOSSES_AND_VMS[Math.toIntExact(seed % LOSSES_AND_VMS.length)];
        OpenGroupSimulation simulation =
                new OpenGroupSimulation(
                        new OpenGroupSettings(
                                seed,
                                lossesAndVms[0],
                                lossesAndVms[1],
                                FAULT_MILLISECONDS,
                                additionalFaults));
        OpenGroupFaultInjector faults = new OpenGroupFaultInjector(simulation);
        while (simulation.time() < simulation.settings().faultMilliseconds()) {
            faults.step();
        }
        faults.loseDisksAtEnd();
        simulation.settle();
        return simulation.counts();
    }
}
