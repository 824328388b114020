package org.marjoramnotch.logic.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramnotch.logic.workflow.FleetWorkerListener;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * Checks, from what the workers saw, that no task runs twice at the same time, and that none starts
 * after a run of it was done, or after as many runs of it failed as its queue allows, and these
 * ends were acknowledged, before or later. The lapse of the worker's lease between an end and its
 * acknowledgement makes the end void.
 */
final class StartOnceChecker {
    /** What became of an end. */
    private enum Acknowledgement {
        PENDING,
        RECEIVED,
        VOID
    }

    private static final class EndedRun {
        final RunId run;
        final String worker;
        final long number;
        Acknowledgement acknowledgement = Acknowledgement.PENDING;
        final List<String> laterStarts = new ArrayList<>();

        EndedRun(RunId run, String worker, long number) {
            this.run = run;
            this.worker = worker;
            this.number = number;
        }
    }

    /**
     * A start of a task.
     *
     * @param description the run and its worker
     * @param failures the runs that had failed before
     */
    private record StartAfterFailures(String description, List<EndedRun> failures) {}

    private final FleetTrace trace;
    private final Map<WorkflowTaskId, Map<RunId, String>> live = new HashMap<>();
    private final int mostFailures;
    private final Map<WorkflowTaskId, List<EndedRun>> done = new HashMap<>();
    private final Map<WorkflowTaskId, List<EndedRun>> failed = new HashMap<>();
    private final List<StartAfterFailures> startsAfterFailures = new ArrayList<>();
    private final Map<String, List<EndedRun>> pending = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long starts;

    StartOnceChecker(FleetTrace trace, int mostFailures) {
        this.trace = trace;
        this.mostFailures = mostFailures;
    }

    List<String> violations() {
        return violations;
    }

    long starts() {
        return starts;
    }

    long doneRuns() {
        return done.values().stream().mapToLong(List::size).sum();
    }

    FleetWorkerListener listenerOf(String worker) {
        return new FleetWorkerListener() {
            @Override
            public void onStarted(RunId run) {
                start(worker, run);
            }

            @Override
            public void onEnded(long number, RunId run, RunOutcome outcome) {
                end(worker, number, run, outcome);
            }

            @Override
            public void onEndsAcknowledged(long number) {
                acknowledge(worker, number);
            }

            @Override
            public void onLeaseLapsed() {
                lapse(worker);
            }
        };
    }

    private void start(String worker, RunId run) {
        starts++;
        trace.add(() -> "run_begins run=" + run + " worker=" + worker);
        Map<RunId, String> others = live.computeIfAbsent(run.task(), task -> new HashMap<>());
        String started = run + " started on " + worker;
        others.forEach((other, at) -> violate(started + " while " + other + " runs on " + at));
        others.put(run, worker);
        List<EndedRun> failures = failed.getOrDefault(run.task(), List.of());
        if (failures.size() >= mostFailures) {
            startsAfterFailures.add(new StartAfterFailures(started, List.copyOf(failures)));
            checkFailures();
        }
        for (EndedRun earlier : done.getOrDefault(run.task(), List.of())) {
            if (earlier.acknowledgement == Acknowledgement.RECEIVED) {
                violate(started + " after an acknowledged end of " + describe(earlier));
            } else if (earlier.acknowledgement == Acknowledgement.PENDING) {
                earlier.laterStarts.add(started);
            }
        }
    }

    private void end(String worker, long number, RunId run, RunOutcome outcome) {
        trace.add(
                () ->
                        "run_ends run=%s worker=%s number=%d outcome=%s"
                                .formatted(run, worker, number, outcome));
        live.getOrDefault(run.task(), new HashMap<>()).remove(run, worker);
        if (outcome == RunOutcome.DONE || outcome == RunOutcome.FAILED) {
            EndedRun ended = new EndedRun(run, worker, number);
            (outcome == RunOutcome.DONE ? done : failed)
                    .computeIfAbsent(run.task(), task -> new ArrayList<>())
                    .add(ended);
            pending.computeIfAbsent(worker, name -> new ArrayList<>()).add(ended);
        }
    }

    private void acknowledge(String worker, long number) {
        List<EndedRun> ends = pending.getOrDefault(worker, new ArrayList<>());
        for (EndedRun end : ends) {
            if (end.number <= number) {
                end.acknowledgement = Acknowledgement.RECEIVED;
                trace.add(() -> "end_acknowledged " + describe(end));
                end.laterStarts.forEach(
                        started -> violate(started + " after the end of " + describe(end)));
            }
        }
        if (ends.removeIf(end -> end.acknowledgement != Acknowledgement.PENDING)) {
            checkFailures();
        }
    }

    /** Checks the starts that followed failed runs, whose ends may be acknowledged only now. */
    private void checkFailures() {
        startsAfterFailures.removeIf(
                start -> {
                    long counted =
                            start.failures().stream()
                                    .filter(end -> end.acknowledgement == Acknowledgement.RECEIVED)
                                    .count();
                    if (counted >= mostFailures) {
                        violate(start.description() + " after " + counted + " failed runs");
                    }
                    return counted >= mostFailures;
                });
    }

    /** Handles the end of a worker with all that runs on it. */
    void onCrash(String worker) {
        trace.add(() -> "worker_crashes worker=" + worker);
        live.values().forEach(runs -> runs.values().removeIf(worker::equals));
        pending.remove(worker);
    }

    private void lapse(String worker) {
        trace.add(() -> "lease_lapses worker=" + worker);
        List<EndedRun> ends = pending.getOrDefault(worker, new ArrayList<>());
        ends.forEach(end -> end.acknowledgement = Acknowledgement.VOID);
        ends.clear();
    }

    private static String describe(EndedRun end) {
        return end.run + " on " + end.worker + ", number " + end.number;
    }

    private void violate(String violation) {
        trace.add(() -> "VIOLATION " + violation);
        violations.add(violation);
    }
}
