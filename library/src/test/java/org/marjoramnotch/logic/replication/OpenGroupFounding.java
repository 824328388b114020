package org.marjoramnotch.logic.replication;

import java.util.Arrays;

/**
 * Measures how long open groups take until a leader is ready, from the command line: {@code LOSSES
 * VMS SEEDS}.
 */
public final class OpenGroupFounding {
    private static final long LIMIT_MILLISECONDS = 20_000;

    private OpenGroupFounding() {}

    /** Prints the minimum, median and maximum time of all seeds. */
    public static void main(String[] arguments) {
        int losses = Integer.parseInt(arguments[0]);
        int vms = Integer.parseInt(arguments[1]);
        long[] times = new long[Integer.parseInt(arguments[2])];
        for (int seed = 0; seed < times.length; seed++) {
            times[seed] = millisecondsUntilReady(new OpenGroupSettings(seed, losses, vms, 0));
        }
        Arrays.sort(times);
        System.out.printf(
                "event=founding_measured least_ms=%d median_ms=%d most_ms=%d%n",
                times[0], times[times.length / 2], times[times.length - 1]);
    }

    /** Returns the time from the first start of all VMs until a leader is ready. */
    static long millisecondsUntilReady(OpenGroupSettings settings) {
        OpenGroupSimulation simulation = new OpenGroupSimulation(settings);
        while (simulation.readyLeader().isEmpty() && simulation.time() < LIMIT_MILLISECONDS) {
            simulation.step();
        }
        return simulation.time();
    }
}
