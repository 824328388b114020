package org.marjoramnotch.logic.cell;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs simulations of replicas with workers from the command line: {@code --seed FIRST --runs
 * COUNT}, with {@code --successive 1} for faults that follow one another on a worker, {@code
 * --departures 1} for announcements of ends that arrive late, and {@code --trace 1} to print the
 * events.
 */
public final class FleetSoak {
    private FleetSoak() {}

    /** Runs all seeds and prints those in which a task started twice. */
    public static void main(String[] arguments) {
        List<String> options = List.of(arguments);
        long first = CellSoak.option(options, "--seed", 1);
        long runs = CellSoak.option(options, "--runs", 1);
        boolean traced = CellSoak.option(options, "--trace", 0) > 0;
        FleetSimulationRun.Scenario scenario = scenario(options);
        Map<String, Integer> total = new TreeMap<>();
        long starts = 0;
        long failed = 0;
        for (long seed = first; seed < first + runs; seed++) {
            FleetSimulationRun run = new FleetSimulationRun(seed, scenario, traced);
            FleetSimulation cell = run.run();
            List<String> idle =
                    scenario == FleetSimulationRun.Scenario.DEPARTURES
                            ? run.findIdleWorkers()
                            : List.of();
            cell.trace.lines().forEach(System.out::println);
            starts += cell.checker.starts();
            cell.occurrences().forEach((what, times) -> total.merge(what, times, Integer::sum));
            if (!cell.checker.violations().isEmpty() || !idle.isEmpty()) {
                failed++;
                System.out.println(
                        "event=fleet_soak_violation seed=%d violations=\"%s\" idle=\"%s\""
                                .formatted(seed, cell.checker.violations(), idle));
            }
        }
        System.out.println(
                "event=fleet_soak_ended runs=%d failed=%d starts=%d met=\"%s\""
                        .formatted(runs, failed, starts, total));
        System.exit(failed == 0 ? 0 : 1);
    }

    private static FleetSimulationRun.Scenario scenario(List<String> options) {
        if (CellSoak.option(options, "--preemption", 0) > 0) {
            return FleetSimulationRun.Scenario.PREEMPTION;
        }
        if (CellSoak.option(options, "--departures", 0) > 0) {
            return FleetSimulationRun.Scenario.DEPARTURES;
        }
        return CellSoak.option(options, "--successive", 0) > 0
                ? FleetSimulationRun.Scenario.SUCCESSIVE_FAULTS
                : FleetSimulationRun.Scenario.SINGLE_FAULTS;
    }
}
