package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.Workflow;

/** Computes the latency objectives of workflows from the settings of their queues. */
final class LatencyObjectives {
    /** Average number of workers named in a question to the placement advisor. */
    private static final int ADVISED_WORKERS = 30;

    /** More than start at once, also of small steps on large fleets. */
    private static final int MAXIMUM_UNSTARTED_OCCURRENCES = 64;

    /** Estimated run time of tasks that are submitted without an estimate. */
    private static final long UNKNOWN_ESTIMATE_MILLISECONDS = 500;

    /**
     * The critical paths of a workflow, in milliseconds.
     *
     * @param from the longest chain of work that starts with each step
     * @param longest the longest of all
     */
    private record CriticalPaths(long[] from, long longest) {}

    private final long epochOffset;
    private final Map<JobId, CriticalPaths> criticalPathsByWorkflow = new HashMap<>();

    /**
     * Creates the objectives for one term of leadership.
     *
     * @param epochOffset the leader's time minus the Unix time, in milliseconds
     */
    LatencyObjectives(long epochOffset) {
        this.epochOffset = epochOffset;
    }

    /** Returns when an occurrence is due to start, in the leader's time. */
    long dueAt(Workflow workflow, int occurrence) {
        long epoch =
                workflow.recurrence()
                        .map(recurrence -> recurrence.dueEpochMilliseconds(occurrence))
                        .orElse(workflow.submittedEpochMilliseconds());
        return epoch + epochOffset;
    }

    /**
     * Calls an action with each occurrence that is due and not done, in ascending order. Of those
     * without a started task, which are all alike, it takes a limited number, so that a workflow
     * with many due occurrences does not slow down the others.
     */
    void forEachDue(long nowMilliseconds, WorkflowEntry entry, IntConsumer action) {
        Workflow workflow = entry.workflow();
        boolean scheduled = workflow.recurrence().isPresent();
        int unstarted = 0;
        boolean ascending =
                workflow.recurrence()
                        .map(recurrence -> recurrence.intervalMilliseconds() >= 0)
                        .orElse(true);
        for (int occurrence = entry.nextOpenOccurrence(0);
                occurrence >= 0;
                occurrence = entry.nextOpenOccurrence(occurrence + 1)) {
            boolean due = !scheduled || nowMilliseconds >= dueAt(workflow, occurrence);
            if (!due && ascending) {
                return;
            }
            boolean started = entry.startedOccurrences().containsKey(occurrence);
            if (due && (started || unstarted < MAXIMUM_UNSTARTED_OCCURRENCES)) {
                unstarted += started ? 0 : 1;
                action.accept(occurrence);
            }
        }
    }

    /** Returns the latency objective of one occurrence of a workflow, in milliseconds. */
    long objective(WorkflowEntry entry) {
        return objective(criticalPaths(entry).longest(), entry.queue());
    }

    /** Returns the latency objective of a workflow with a critical path, in milliseconds. */
    static long objective(long criticalPath, QueueDefinition queue) {
        return (long) (criticalPath * queue.stretch()) + queue.slackMilliseconds();
    }

    /** Returns the length of the critical path of a workflow, in milliseconds. */
    static long criticalPath(Workflow workflow, QueueDefinition queue) {
        return computeCriticalPaths(workflow, queue).longest();
    }

    /** Returns the length of the critical path that starts with a step, in milliseconds. */
    long criticalPathFrom(WorkflowEntry entry, int step) {
        return criticalPaths(entry).from()[step];
    }

    /** Discards the critical paths of a workflow that has ended. */
    void forget(JobId workflow) {
        criticalPathsByWorkflow.remove(workflow);
    }

    private CriticalPaths criticalPaths(WorkflowEntry entry) {
        return criticalPathsByWorkflow.computeIfAbsent(
                entry.id(), id -> computeCriticalPaths(entry.workflow(), entry.queue()));
    }

    private static CriticalPaths computeCriticalPaths(Workflow workflow, QueueDefinition queue) {
        List<StepDefinition> steps = workflow.steps();
        long[] from = new long[steps.size()];
        long longest = 0;
        for (int step = steps.size() - 1; step >= 0; step--) {
            long after = 0;
            for (int later = step + 1; later < steps.size(); later++) {
                if (steps.get(later).after().contains(step)) {
                    after = Math.max(after, from[later]);
                }
            }
            from[step] = after + stepMilliseconds(steps.get(step), queue);
            longest = Math.max(longest, from[step]);
        }
        return new CriticalPaths(from, longest);
    }

    /** Returns the estimated run time of a task, in milliseconds. */
    static long estimate(StepDefinition step) {
        long estimate = step.estimateMilliseconds();
        return estimate > 0 ? estimate : UNKNOWN_ESTIMATE_MILLISECONDS;
    }

    private static long stepMilliseconds(StepDefinition step, QueueDefinition queue) {
        double advice =
                queue.advice()
                        .map(
                                timing ->
                                        timing.decisionMilliseconds()
                                                + ADVISED_WORKERS * timing.perWorkerMilliseconds())
                        .orElse(0.0);
        return estimate(step) + (long) advice;
    }
}
