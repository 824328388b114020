package org.marjoramnotch.logic.preemption;

import java.util.function.ToIntFunction;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepId;

/**
 * A step of the highest priority with tasks that cannot be placed now.
 *
 * @param id the step
 * @param tasks how many of its tasks wait and have no capacity reserved
 * @param gang whether the tasks only start together
 * @param demand what one task reserves on its worker
 * @param latestStart when the tasks must start to be in time, in the leader's time
 * @param taskMilliseconds estimated run time of one task
 * @param places how many tasks of the step may start on a worker, whatever is free there; 0 for a
 *     worker without the label or the ticket that the step needs
 */
public record UrgentStep(
        StepId id,
        int tasks,
        boolean gang,
        Resources demand,
        long latestStart,
        long taskMilliseconds,
        ToIntFunction<WorkerIncarnation> places) {
    /** Returns the core time that some of the tasks need, in core-milliseconds. */
    long processorMilliseconds(int count) {
        return PreemptionCandidate.processorMilliseconds(demand, taskMilliseconds) * count;
    }

    /** Returns the same step with another number of tasks. */
    UrgentStep withTasks(int count) {
        return new UrgentStep(id, count, gang, demand, latestStart, taskMilliseconds, places);
    }
}
