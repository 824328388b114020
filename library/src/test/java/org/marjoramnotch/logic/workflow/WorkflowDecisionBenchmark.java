package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.model.resource.Resources;

/**
 * Prints the processor time of the workflow duty for each second of simulated load, and how soon a
 * new leader starts runs. The digest is the same if the decisions are the same.
 */
final class WorkflowDecisionBenchmark {
    private final WorkflowCell cell = new WorkflowCell(7);
    private final WorkflowLoad load;
    private final int workers;
    private long digest;
    private long starts;

    private WorkflowDecisionBenchmark(int workers) {
        this.workers = workers;
        load = new WorkflowLoad(cell, workers, 11);
        cell.checkEvery(1_000);
    }

    /** Measures a small and a large fleet. The argument is the length of each phase in seconds. */
    public static void main(String[] arguments) {
        int seconds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 8;
        new WorkflowDecisionBenchmark(32).measure(seconds);
        new WorkflowDecisionBenchmark(246).measure(seconds);
    }

    private void measure(int seconds) {
        load.start();
        load.run(5_000, 1);
        countStarts();
        measurePhase("usual", seconds, 1);
        measurePhase("rush", seconds, 2);
        changeLeader();
    }

    private void measurePhase(String phase, int seconds, double rateFactor) {
        cell.timer.reset();
        long startsBefore = starts;
        for (int second = 0; second < seconds; second++) {
            load.run(1_000, rateFactor);
            countStarts();
        }
        System.out.printf(
                "workers %d %s: %d ms of decisions each second, round p50 %d us p99 %d us;"
                        + " %d starts each second, %d percent in use, %d workflows active,"
                        + " digest %016x%n",
                workers,
                phase,
                cell.timer.nanoseconds() / 1_000_000 / seconds,
                cell.timer.rounds().getValueAtPercentile(50) / 1_000,
                cell.timer.rounds().getValueAtPercentile(99) / 1_000,
                (starts - startsBefore) / seconds,
                percentInUse(),
                cell.ledger.active().size(),
                digest);
    }

    private void changeLeader() {
        cell.changeLeader();
        load.pollAll();
        cell.timer.reset();
        long changedAt = cell.now();
        long listedAfter = -1;
        long startedAfter = -1;
        while (cell.now() < changedAt + 5_000 && (listedAfter < 0 || startedAfter < 0)) {
            load.run(5, 1);
            if (countStarts() > 0 && startedAfter < 0) {
                startedAfter = cell.now() - changedAt;
            }
            if (listedAfter < 0 && cell.listedWorkers.size() >= workers * 9 / 10) {
                listedAfter = cell.now() - changedAt;
            }
        }
        System.out.printf(
                "workers %d new leader: first start after %d ms, lists of 90 percent of the workers"
                        + " after %d ms, longest round %d us, decisions %d ms%n",
                workers,
                startedAfter,
                listedAfter,
                cell.timer.rounds().getMaxValue() / 1_000,
                cell.timer.nanoseconds() / 1_000_000);
    }

    private long countStarts() {
        long counted = 0;
        for (DecisionLogEntry logEntry : cell.decisionLog) {
            if (logEntry.event().equals("run_started")) {
                counted++;
                digest = 31 * digest + logEntry.fields().toString().hashCode();
            }
        }
        cell.decisionLog.clear();
        starts += counted;
        return counted;
    }

    private long percentInUse() {
        Resources capacity = Resources.NONE;
        Resources reserved = Resources.NONE;
        for (WorkerEntry worker : cell.ledger.workers()) {
            capacity = capacity.plus(worker.worker().capacity());
            reserved = reserved.plus(worker.reserved());
        }
        return 100 * reserved.processorMillis() / capacity.processorMillis();
    }
}
