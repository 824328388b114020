package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Function;
import org.marjoramnotch.logic.speed.TimedRun;
import org.marjoramnotch.logic.speed.WorkerSpeeds;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Estimates how slow each worker is by comparing runs of the same step, which do about the same
 * work. This covers heterogeneous fleets and workers that become slow. The estimate submitted with
 * a task is a poor reference; its sibling tasks on other workers are a good one. Comparisons of a
 * worker with itself tell nothing.
 */
final class SpeedEstimator {
    /** Start times of the running tasks and run times of the finished tasks of a workflow. */
    private record WorkflowTimes(Map<RunId, Long> started, Map<StepId, List<TimedRun>> timed) {
        WorkflowTimes() {
            this(new HashMap<>(), new HashMap<>());
        }
    }

    private final Map<JobId, WorkflowTimes> workflows = new HashMap<>();
    private final Function<WorkerId, String> kindOf;
    private final WorkerSpeeds speeds = new WorkerSpeeds();

    /**
     * Creates an estimator.
     *
     * @param kindOf returns the kind of a worker; empty if it has none
     */
    SpeedEstimator(Function<WorkerId, String> kindOf) {
        this.kindOf = kindOf;
    }

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
        TimedRun run = new TimedRun(worker, kindOf.apply(worker), Math.log(runTime));
        List<TimedRun> siblings =
                times.timed().computeIfAbsent(end.run().task().step(), step -> new ArrayList<>());
        speeds.compare(
                run, siblings.stream().filter(other -> !other.worker().equals(worker)).toList());
        siblings.add(run);
        return OptionalLong.of(runTime);
    }

    /** Discards the run times of a workflow. */
    void forget(JobId workflow) {
        workflows.remove(workflow);
    }

    /** Returns how slow a worker is; see {@link WorkerSpeeds#slowness}. */
    double slowness(WorkerId worker) {
        return speeds.slowness(worker, kindOf.apply(worker));
    }
}
