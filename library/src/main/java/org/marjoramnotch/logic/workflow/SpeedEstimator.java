package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Estimates how slow each worker is by comparing runs of the same step, which do about the same
 * work. This covers heterogeneous fleets and workers that become slow. The estimate submitted with
 * a task is a poor reference; its sibling tasks on other workers are a good one.
 */
final class SpeedEstimator {
    /** Weight of one comparison; twenty comparisons outweigh the differences between tasks. */
    private static final double LEARNING_RATE = 0.15;

    /** Largest deviation counted for a single run: a factor of eight from the expected time. */
    private static final double MAXIMUM_DEVIATION = Math.log(8);

    private record Sample(WorkerId worker, double logRunTime) {}

    /** Start times of the running tasks and run times of the finished tasks of a workflow. */
    private record WorkflowTimes(Map<RunId, Long> started, Map<StepId, List<Sample>> samples) {
        WorkflowTimes() {
            this(new HashMap<>(), new HashMap<>());
        }
    }

    private final Map<JobId, WorkflowTimes> workflows = new HashMap<>();
    private final Map<WorkerId, Double> slowness = new HashMap<>();

    void onStarted(long nowMilliseconds, RunId run) {
        workflows
                .computeIfAbsent(run.task().step().workflow(), workflow -> new WorkflowTimes())
                .started()
                .put(run, nowMilliseconds);
    }

    /**
     * Handles the end of a run; only runs that completed without a checkpoint are compared.
     *
     * @return the run time of a run that is compared
     */
    OptionalLong onEnded(long nowMilliseconds, WorkerId worker, RunEnd end) {
        WorkflowTimes times = workflows.get(end.run().task().step().workflow());
        Long startedAt = times == null ? null : times.started().remove(end.run());
        if (startedAt == null || end.outcome() != RunOutcome.DONE || !end.checkpoint().isEmpty()) {
            return OptionalLong.empty();
        }
        long runTime = Math.max(1, nowMilliseconds - startedAt);
        double logRunTime = Math.log(runTime);
        List<Sample> siblings =
                times.samples().computeIfAbsent(end.run().task().step(), step -> new ArrayList<>());
        if (!siblings.isEmpty()) {
            learn(worker, logRunTime, siblings);
        }
        siblings.add(new Sample(worker, logRunTime));
        return OptionalLong.of(runTime);
    }

    /** Discards the run times of a workflow. */
    void forget(JobId workflow) {
        workflows.remove(workflow);
    }

    /**
     * Returns the natural logarithm of a worker's relative run time: 0 is average, 0.7 is twice the
     * time, negative values are faster.
     */
    double slowness(WorkerId worker) {
        return slowness.getOrDefault(worker, 0.0);
    }

    private void learn(WorkerId worker, double logRunTime, List<Sample> siblings) {
        double expected =
                siblings.stream()
                        .mapToDouble(sample -> sample.logRunTime() - slowness(sample.worker()))
                        .average()
                        .orElse(logRunTime);
        double deviation = logRunTime - expected - slowness(worker);
        double bounded = Math.max(-MAXIMUM_DEVIATION, Math.min(MAXIMUM_DEVIATION, deviation));
        slowness.merge(worker, LEARNING_RATE * bounded, Double::sum);
    }
}
