package org.marjoramnotch.logic.workflow;

import java.util.Comparator;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * Takes the worker that a task fills best, so that wide tasks find whole workers later. Near the
 * data comes first, and tasks that only fill gaps keep off workers with tasks that serve users.
 */
final class TightestFit implements WorkerChoice {
    private final CapacityView capacity;
    private final WorkerSessions sessions;

    TightestFit(CapacityView capacity, WorkerSessions sessions) {
        this.capacity = capacity;
        this.sessions = sessions;
    }

    @Override
    public Comparator<WorkerEntry> forStep(ReadyStep step) {
        StepDefinition definition = step.tasks().definition();
        return Comparator.comparing(
                        (WorkerEntry worker) ->
                                definition.dataRack().isPresent()
                                        && !worker.worker()
                                                .labels()
                                                .contains(definition.dataRack().get()))
                .thenComparing(worker -> hasRecentFailures(worker))
                .thenComparingInt(worker -> disturbance(worker, definition))
                .thenComparingInt(worker -> definition.standing() ? worker.runs().size() : 0)
                .thenComparingLong(capacity::freeProcessorMillis);
    }

    private boolean hasRecentFailures(WorkerEntry worker) {
        return sessions.of(worker.worker().id())
                .map(WorkerSession::hasRecentFailures)
                .orElse(false);
    }

    /** Counts the runs on a worker that a task would disturb, or that would disturb it. */
    private static int disturbance(WorkerEntry worker, StepDefinition step) {
        boolean serves = step.latencyTargetMilliseconds() > 0;
        if (!serves && !step.filler()) {
            return 0;
        }
        return (int)
                worker.runs().stream()
                        .map(ActiveRun::step)
                        .filter(
                                other ->
                                        serves
                                                ? other.filler()
                                                : other.latencyTargetMilliseconds() > 0)
                        .count();
    }
}
