package org.marjoramnotch.logic.cell;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs simulations of complete cells from the command line: {@code --seed FIRST --steps
 * MILLISECONDS --runs COUNT}.
 */
public final class CellSoak {
    private CellSoak() {}

    /** Runs seeds one after the other and stops at the first that fails, with its seed. */
    public static void main(String[] arguments) {
        List<String> options = List.of(arguments);
        long first = option(options, "--seed", 1);
        long steps = option(options, "--steps", 300_000);
        long runs = option(options, "--runs", 1);
        Map<String, Integer> total = new TreeMap<>();
        for (long seed = first; seed < first + runs; seed++) {
            run(seed, steps).forEach((what, times) -> total.merge(what, times, Integer::sum));
        }
        System.out.println("event=cell_soak_passed runs=" + runs + " met=\"" + total + "\"");
    }

    private static Map<String, Integer> run(long seed, long steps) {
        int replicas = seed % 2 == 0 ? 3 : 5;
        CellSimulationRun run = new CellSimulationRun(seed, replicas);
        try {
            return run.run(steps);
        } catch (RuntimeException | AssertionError failure) {
            throw new AssertionError(
                    "Failed at " + run.time() + " ms of seed " + seed + ": " + failure.getMessage(),
                    failure);
        }
    }

    static long option(List<String> arguments, String name, long defaultValue) {
        int position = arguments.indexOf(name);
        return position < 0 ? defaultValue : Long.parseLong(arguments.get(position + 1));
    }
}
