package org.marjoramnotch.logic.cell;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import org.marjoramnotch.model.order.CallOutcome;

/**
 * Prints the processor time that a leader with five voters needs for an input that leads to no
 * decision.
 */
final class CellInputBench {
    private static final int INPUTS = 300_000;
    private static final int ROUNDS = 5;

    private CellInputBench() {}

    /** Measures several rounds; the first ones serve as warm-up. */
    public static void main(String[] arguments) {
        CellSimulation simulation = new CellSimulation(3, 5);
        simulation.run(10_000, () -> {});
        SimulatedHost leader =
                simulation.hosts.stream()
                        .filter(host -> host.core().status(host.localTime(simulation.time)).ready())
                        .findFirst()
                        .orElseThrow();
        long now = leader.localTime(simulation.time);
        int voters = leader.core().status(now).voters().size();
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        for (int round = 0; round < ROUNDS; round++) {
            long start = threads.getCurrentThreadCpuTime();
            for (int input = 0; input < INPUTS; input++) {
                leader.core().callOutcome(now, new CallOutcome.Unanswered(input));
            }
            long spent = threads.getCurrentThreadCpuTime() - start;
            System.out.printf("%d voters: %d ns for each input%n", voters, spent / INPUTS);
        }
    }
}
