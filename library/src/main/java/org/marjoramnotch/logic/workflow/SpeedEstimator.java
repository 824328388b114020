package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Learns how slow each worker is from runs of the same step, which do about the same work. It
 * answers fleets of unlike workers and workers that turn slow: what a task was estimated at says
 * little, but its siblings on other workers say much.
 */
final class SpeedEstimator {
    /** Weight of one comparison; twenty of them outweigh the unevenness of the tasks. */
    private static final double LEARNING_RATE = 0.15;

    /** A single run speaks for at most an eightfold time. */
    private static final double MAXIMUM_DEVIATION = Math.log(8);

    private record Sample(WorkerId worker, double logarithm) {}

    /** What is known of the runs of one workflow. */
    private record Times(Map<RunId, Long> started, Map<StepId, List<Sample>> samples) {
        Times() {
            this(new HashMap<>(), new HashMap<>());
        }
    }

    private final Map<JobId, Times> workflows = new HashMap<>();
    private final Map<WorkerId, Double> slowness = new HashMap<>();

    void onStarted(long nowMilliseconds, RunId run) {
        workflows
                .computeIfAbsent(run.task().step().workflow(), workflow -> new Times())
                .started()
                .put(run, nowMilliseconds);
    }

    /** Takes the end of a run; only runs that did their work tell something. */
    void onEnded(long nowMilliseconds, WorkerId worker, RunEnd end) {
        Times times = workflows.get(end.run().task().step().workflow());
        Long startedAt = times == null ? null : times.started().remove(end.run());
        if (startedAt == null || end.outcome() != RunOutcome.DONE || !end.checkpoint().isEmpty()) {
            return;
        }
        double logarithm = Math.log(Math.max(1, nowMilliseconds - startedAt));
        List<Sample> siblings =
                times.samples().computeIfAbsent(end.run().task().step(), step -> new ArrayList<>());
        if (!siblings.isEmpty()) {
            learn(worker, logarithm, siblings);
        }
        siblings.add(new Sample(worker, logarithm));
    }

    /** Forgets the steps of a workflow. */
    void forget(JobId workflow) {
        workflows.remove(workflow);
    }

    /** Returns how slow a worker is: 0 for usual, 0.7 for twice the time, negative for fast. */
    double slowness(WorkerId worker) {
        return slowness.getOrDefault(worker, 0.0);
    }

    private void learn(WorkerId worker, double logarithm, List<Sample> siblings) {
        double usual =
                siblings.stream()
                        .mapToDouble(sample -> sample.logarithm() - slowness(sample.worker()))
                        .average()
                        .orElse(logarithm);
        double surprise = logarithm - usual - slowness(worker);
        double bounded = Math.max(-MAXIMUM_DEVIATION, Math.min(MAXIMUM_DEVIATION, surprise));
        slowness.merge(worker, LEARNING_RATE * bounded, Double::sum);
    }
}
