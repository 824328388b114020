package org.marjoramnotch.logic.replication;

import java.util.List;

/**
 * Runs the simulation from the command line for a number of seeds: {@code --seed FIRST --steps
 * MILLISECONDS --runs COUNT}.
 */
public final class ReplicationSoak {
    private ReplicationSoak() {}

    /** Runs seeds one after the other and stops at the first that fails. */
    public static void main(String[] arguments) {
        List<String> options = List.of(arguments);
        long first = option(options, "--seed", 1);
        long steps = option(options, "--steps", 600_000);
        long runs = option(options, "--runs", 1);
        Coverage total = new Coverage();
        for (long seed = first; seed < first + runs; seed++) {
            int replicas = seed % 2 == 0 ? 3 : 5;
            long spread = seed % 3 == 0 ? 20 : 1_000;
            total.add(run(new SimulationSettings(seed, replicas, steps, spread)));
        }
        System.out.println("event=soak_passed runs=" + runs + " coverage=" + total);
    }

    static Coverage run(SimulationSettings settings) {
        ReplicationSimulation simulation = new ReplicationSimulation(settings);
        try {
            simulation.formGroup();
            FaultInjector faults = new FaultInjector(simulation);
            while (simulation.time() < settings.steps()) {
                faults.step();
            }
            simulation.settle();
        } catch (RuntimeException | AssertionError e) {
            throw new AssertionError(
                    "Failed at " + simulation.time() + " ms of " + settings + ": " + e.getMessage(),
                    e);
        }
        return simulation.coverage();
    }

    private static long option(List<String> arguments, String name, long defaultValue) {
        int position = arguments.indexOf(name);
        return position < 0 ? defaultValue : Long.parseLong(arguments.get(position + 1));
    }
}
