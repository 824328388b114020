package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.Workflow;

/** Works out when workflows must be done, from the terms of their queues. */
final class LatencyObjectives {
    /** Workers that a question to the advisor names on average. */
    private static final int ADVISED_WORKERS = 30;

    /** An estimate for tasks that come without one. */
    private static final long UNKNOWN_ESTIMATE_MILLISECONDS = 500;

    /**
     * The chains of a workflow.
     *
     * @param from the longest chain from each step on
     * @param longest the longest of all
     */
    private record CriticalPaths(long[] from, long longest) {}

    private final long epochOffset;
    private final Map<JobId, CriticalPaths> known = new HashMap<>();

    /**
     * Creates the clock.
     *
     * @param epochOffset the leader's time minus the time since 1970
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

    /** Returns the latency objective of one occurrence. */
    long objective(WorkflowEntry entry) {
        CriticalPaths chains = criticalPaths(entry);
        return (long) (chains.longest() * entry.queue().stretch())
                + entry.queue().slackMilliseconds();
    }

    /** Returns the longest chain of work from a step on, with the step. */
    long criticalPathFrom(WorkflowEntry entry, int step) {
        return criticalPaths(entry).from()[step];
    }

    /** Forgets a workflow that has ended. */
    void forget(JobId workflow) {
        known.remove(workflow);
    }

    private CriticalPaths criticalPaths(WorkflowEntry entry) {
        return known.computeIfAbsent(entry.id(), id -> computeCriticalPaths(entry));
    }

    private static CriticalPaths computeCriticalPaths(WorkflowEntry entry) {
        List<StepDefinition> steps = entry.workflow().steps();
        long[] from = new long[steps.size()];
        long longest = 0;
        for (int step = steps.size() - 1; step >= 0; step--) {
            long after = 0;
            for (int later = step + 1; later < steps.size(); later++) {
                if (steps.get(later).after().contains(step)) {
                    after = Math.max(after, from[later]);
                }
            }
            from[step] = after + cost(entry, step);
            longest = Math.max(longest, from[step]);
        }
        return new CriticalPaths(from, longest);
    }

    private static long cost(WorkflowEntry entry, int step) {
        long estimate = entry.workflow().steps().get(step).estimateMilliseconds();
        double advice =
                entry.queue()
                        .advice()
                        .map(
                                terms ->
                                        terms.decisionMilliseconds()
                                                + ADVISED_WORKERS * terms.perWorkerMilliseconds())
                        .orElse(0.0);
        return (estimate > 0 ? estimate : UNKNOWN_ESTIMATE_MILLISECONDS) + (long) advice;
    }
}
