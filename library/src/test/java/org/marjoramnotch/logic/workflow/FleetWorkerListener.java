package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;

/** Observes a simulated worker. */
public interface FleetWorkerListener {
    /** Ignores all events. */
    FleetWorkerListener NONE = new FleetWorkerListener() {};

    /** Handles the start of a run. */
    default void onStarted(RunId run) {}

    /**
     * Handles the end of a run.
     *
     * @param number the number of the end
     */
    default void onEnded(long number, RunId run, RunOutcome outcome) {}

    /** Handles the permission to discard ends up to a number. */
    default void onEndsAcknowledged(long number) {}

    /** Handles the expiry of the lease, whether or not anything ran. */
    default void onLeaseLapsed() {}
}
