package org.marjoramnotch.logic.preemption;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * What one leader has seen of runs: when they started, how long the others of their step took, how
 * often their tasks were preempted, and how much capacity their ends free.
 */
public final class RunHistory {
    /**
     * A run that has not ended.
     *
     * @param startedAt when it started; empty for a run of an earlier leader
     * @param resumed whether it does only the rest of the work after a checkpoint
     */
    private record Running(
            ServiceName pool, long processorMillis, OptionalLong startedAt, boolean resumed) {}

    /** The run times of the finished tasks of a step. */
    private record StepTimes(int runs, long milliseconds) {
        StepTimes plus(long more) {
            return new StepTimes(runs + 1, milliseconds + more);
        }
    }

    /** What is known of the runs of one workflow. */
    private record WorkflowRuns(
            Map<RunId, Running> running,
            Map<StepId, StepTimes> done,
            Map<WorkflowTaskId, Integer> preemptions) {
        WorkflowRuns() {
            this(new HashMap<>(), new HashMap<>(), new HashMap<>());
        }
    }

    private final long startMilliseconds;
    private final Map<JobId, WorkflowRuns> workflows = new HashMap<>();
    private final Map<ServiceName, FreedCapacityMeter> freed = new HashMap<>();

    /** Creates the history of one term of leadership. */
    public RunHistory(long nowMilliseconds) {
        startMilliseconds = nowMilliseconds;
    }

    /** Adds a run that an earlier leader has started. */
    public void addInherited(RunId run, ServiceName pool, long processorMillis) {
        of(run).running().put(run, new Running(pool, processorMillis, OptionalLong.empty(), true));
    }

    /**
     * Handles the start of a run.
     *
     * @param resumed whether it resumes from a checkpoint
     */
    public void onStarted(
            long nowMilliseconds,
            RunId run,
            ServiceName pool,
            long processorMillis,
            boolean resumed) {
        OptionalLong startedAt = OptionalLong.of(nowMilliseconds);
        of(run).running().put(run, new Running(pool, processorMillis, startedAt, resumed));
    }

    /**
     * Handles the applied end of a run.
     *
     * @param preempted whether it was stopped for urgent work
     */
    public void onEnded(long nowMilliseconds, RunEnd end, boolean preempted) {
        WorkflowRuns runs = workflows.get(end.run().task().step().workflow());
        Running run = runs == null ? null : runs.running().remove(end.run());
        if (runs == null || run == null) {
            return;
        }
        if (!preempted) {
            meter(run.pool()).add(nowMilliseconds, run.processorMillis());
        }
        if (end.outcome() == RunOutcome.DONE && run.startedAt().isPresent() && !run.resumed()) {
            long runTime = nowMilliseconds - run.startedAt().getAsLong();
            StepId step = end.run().task().step();
            StepTimes before = runs.done().getOrDefault(step, new StepTimes(0, 0));
            runs.done().put(step, before.plus(runTime));
        }
    }

    /** Counts a preemption of a task. */
    public void onPreempted(WorkflowTaskId task) {
        workflows
                .computeIfAbsent(task.step().workflow(), workflow -> new WorkflowRuns())
                .preemptions()
                .merge(task, 1, Integer::sum);
    }

    /** Discards what is known of a workflow that has ended, but for runs that have not ended. */
    public void forget(JobId workflow) {
        WorkflowRuns runs = workflows.get(workflow);
        if (runs != null && runs.running().isEmpty()) {
            workflows.remove(workflow);
        }
    }

    /** Returns how often a task was preempted. */
    public int preemptions(WorkflowTaskId task) {
        WorkflowRuns runs = workflows.get(task.step().workflow());
        return runs == null ? 0 : runs.preemptions().getOrDefault(task, 0);
    }

    /** Returns when a run started; empty if it was started by an earlier leader. */
    public OptionalLong startedAt(RunId run) {
        WorkflowRuns runs = workflows.get(run.task().step().workflow());
        Running running = runs == null ? null : runs.running().get(run);
        return running == null ? OptionalLong.empty() : running.startedAt();
    }

    /** Returns when this leader began. */
    public long startMilliseconds() {
        return startMilliseconds;
    }

    /** Returns the mean run time of the finished tasks of a step; empty if there is none. */
    public OptionalLong meanRunTime(StepId step) {
        WorkflowRuns runs = workflows.get(step.workflow());
        StepTimes times = runs == null ? null : runs.done().get(step);
        return times == null
                ? OptionalLong.empty()
                : OptionalLong.of(times.milliseconds() / times.runs());
    }

    /**
     * Returns how much capacity of a pool is freed in a millisecond without preemption, in
     * thousandths of a processor; empty while that is not known.
     */
    public OptionalDouble freedPerMillisecond(long nowMilliseconds, ServiceName pool) {
        return meter(pool).perMillisecond(nowMilliseconds);
    }

    private FreedCapacityMeter meter(ServiceName pool) {
        return freed.computeIfAbsent(pool, name -> new FreedCapacityMeter(startMilliseconds));
    }

    private WorkflowRuns of(RunId run) {
        return workflows.computeIfAbsent(
                run.task().step().workflow(), workflow -> new WorkflowRuns());
    }
}
