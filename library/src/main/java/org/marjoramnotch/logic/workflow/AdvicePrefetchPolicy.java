package org.marjoramnotch.logic.workflow;

import java.util.List;
import org.marjoramnotch.model.fleet.AdviceTiming;

/**
 * Decides whether a step is likely to become ready while tickets requested now are still valid.
 * Requesting them in advance avoids a wait for the advisor at every step of a chain of short steps.
 */
final class AdvicePrefetchPolicy {
    /** A ticket must outlast the wait for its step even if run times are twice the estimates. */
    private static final double MAXIMUM_SHARE_OF_TICKET_TIME = 0.5;

    /** Fraction of finished tasks from which a step of long tasks is considered nearly done. */
    private static final double NEARLY_DONE_SHARE = 0.75;

    /**
     * Returns whether all unfinished predecessors of a step are running and likely to end while
     * tickets are valid.
     */
    boolean isSoonReady(WorkflowEntry entry, int occurrence, int step) {
        double ticketTime =
                entry.queue().advice().map(AdviceTiming::ticketMilliseconds).orElse(0.0);
        if (ticketTime <= 0) {
            return false;
        }
        List<StepTasks> steps = entry.steps(occurrence);
        for (int position : steps.get(step).definition().after()) {
            StepTasks earlier = steps.get(position);
            if (!earlier.isDone() && !isNearEnd(earlier, ticketTime)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isNearEnd(StepTasks step, double ticketTime) {
        boolean shortTasks =
                step.definition().estimateMilliseconds()
                        <= ticketTime * MAXIMUM_SHARE_OF_TICKET_TIME;
        boolean nearlyDone = step.doneCount() >= step.tasks().size() * NEARLY_DONE_SHARE;
        return (shortTasks || nearlyDone) && !step.definition().standing() && !step.hasWaiting();
    }
}
