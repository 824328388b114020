package org.marjoramnotch.logic.workflow;

import java.util.List;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.Workflow;

/** Works out when workflows must be done, from the terms of their queues. */
final class ObjectiveClock {
    /** Workers that a question to the advisor names on average. */
    private static final int ADVISED_WORKERS = 30;

    /** An estimate for tasks that come without one. */
    private static final long UNKNOWN_ESTIMATE_MILLISECONDS = 500;

    private final long epochOffset;

    /**
     * Creates the clock.
     *
     * @param epochOffset the leader's time minus the time since 1970
     */
    ObjectiveClock(long epochOffset) {
        this.epochOffset = epochOffset;
    }

    /** Returns when an occurrence is due to start, in the leader's time. */
    long startOf(Workflow workflow, int occurrence) {
        long epoch =
                workflow.recurrence()
                        .map(recurrence -> recurrence.dueEpochMilliseconds(occurrence))
                        .orElse(workflow.submittedEpochMilliseconds());
        return epoch + epochOffset;
    }

    /** Returns the latency objective of one occurrence. */
    long objective(WorkflowEntry entry) {
        long chain = 0;
        for (int step = 0; step < entry.workflow().steps().size(); step++) {
            chain = Math.max(chain, chainTo(entry, step));
        }
        return (long) (chain * entry.queue().stretch()) + entry.queue().slackMilliseconds();
    }

    /** Returns the longest chain of work from a step on, with the step. */
    long chainFrom(WorkflowEntry entry, int step) {
        long longest = 0;
        List<StepDefinition> steps = entry.workflow().steps();
        for (int later = step + 1; later < steps.size(); later++) {
            if (steps.get(later).after().contains(step)) {
                longest = Math.max(longest, chainFrom(entry, later));
            }
        }
        return longest + cost(entry, step);
    }

    private long chainTo(WorkflowEntry entry, int step) {
        long longest = 0;
        for (int earlier : entry.workflow().steps().get(step).after()) {
            longest = Math.max(longest, chainTo(entry, earlier));
        }
        return longest + cost(entry, step);
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
