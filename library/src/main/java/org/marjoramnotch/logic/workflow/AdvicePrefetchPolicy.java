package org.marjoramnotch.logic.workflow;

import java.util.List;
import org.marjoramnotch.model.fleet.AdviceTiming;

/**
 * Tells when a step is so near its turn that its tickets, which expire, are worth asking for. It
 * answers the chains of short steps in which each step would wait for the advisor anew.
 */
final class AdvicePrefetchPolicy {
    /** A ticket must outlast the wait for its step even if estimates are half of the run times. */
    private static final double MAXIMUM_SHARE_OF_TICKET_TIME = 0.5;

    /** Of long tasks, the end is near once so many are done. */
    private static final double NEARLY_DONE_SHARE = 0.75;

    /** Tells whether all that a step follows runs and is likely to end while tickets hold. */
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
        boolean brief =
                step.definition().estimateMilliseconds()
                        <= ticketTime * MAXIMUM_SHARE_OF_TICKET_TIME;
        boolean nearlyDone = step.doneCount() >= step.tasks().size() * NEARLY_DONE_SHARE;
        return (brief || nearlyDone) && !step.definition().standing() && !step.hasWaiting();
    }
}
