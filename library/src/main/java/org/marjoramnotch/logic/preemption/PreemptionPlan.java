package org.marjoramnotch.logic.preemption;

import java.util.List;
import java.util.Map;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepId;

/**
 * The runs to stop, and for which steps.
 *
 * @param stops the runs to stop
 * @param reservations the capacity that they free for steps
 * @param declined the late steps for which too little is stopped
 */
public record PreemptionPlan(
        List<Stop> stops, List<Reservation> reservations, Map<StepId, Declined> declined) {
    /** Why too little is stopped for a late step. */
    public enum Declined {
        /** The step is late even if runs are stopped at once. */
        LATE_ANYWAY,
        /** No runs that may be stopped would make room on a worker for the step. */
        NO_CANDIDATE,
        /** The runs would lose too much core time in comparison with the step's own. */
        LOSS_TOO_LARGE,
        /** Too much of the pool is being stopped already. */
        TOO_MANY_STOPS
    }

    /**
     * A candidate to stop.
     *
     * @param candidate its runs
     * @param step the step that gets the capacity
     */
    public record Stop(PreemptionCandidate candidate, StepId step) {}

    /**
     * Capacity of a worker for one task.
     *
     * @param step the step of the task
     * @param worker the worker
     * @param demand what the task reserves there
     */
    public record Reservation(StepId step, WorkerIncarnation worker, Resources demand) {}

    /** Creates an immutable plan by copying the collections. */
    public PreemptionPlan {
        stops = List.copyOf(stops);
        reservations = List.copyOf(reservations);
        declined = Map.copyOf(declined);
    }
}
