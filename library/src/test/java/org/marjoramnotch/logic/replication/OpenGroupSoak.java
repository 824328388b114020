package org.marjoramnotch.logic.replication;

import java.util.EnumMap;
import java.util.Map;

/** Runs open groups from the command line: {@code FIRST_SEED COUNT}. */
public final class OpenGroupSoak {
    private static final int[][] LOSSES_AND_VMS = {{2, 5}, {2, 6}, {2, 9}, {1, 4}, {1, 5}};
    private static final long FAULT_MILLISECONDS = 60_000;

    private OpenGroupSoak() {}

    /** Runs all seeds and prints those that fail. */
    public static void main(String[] arguments) {
        long first = Long.parseLong(arguments[0]);
        long count = Long.parseLong(arguments[1]);
        Map<OpenGroupFault, Long> total = new EnumMap<>(OpenGroupFault.class);
        long failed = 0;
        for (long seed = first; seed < first + count; seed++) {
            try {
                run(seed).forEach((fault, met) -> total.merge(fault, met, Long::sum));
            } catch (AssertionError | RuntimeException failure) {
                failed++;
                System.out.println("event=seed_failed seed=" + seed + " cause=" + failure);
            }
        }
        System.out.println("event=soak_ended seeds=" + count + " failed=" + failed + " " + total);
    }

    /** Runs one seed, which also selects the tolerable losses and the number of VMs. */
    static Map<OpenGroupFault, Long> run(long seed) {
        int[] kind = LOSSES_AND_VMS[Math.toIntExact(seed % LOSSES_AND_VMS.length)];
        OpenGroupSimulation simulation =
                new OpenGroupSimulation(
                        new OpenGroupSettings(seed, kind[0], kind[1], FAULT_MILLISECONDS));
        OpenGroupFaultInjector plan = new OpenGroupFaultInjector(simulation);
        while (simulation.time() < simulation.settings().faultMilliseconds()) {
            plan.step();
        }
        plan.loseAtLast();
        simulation.settle();
        return simulation.counts();
    }
}
