package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.workflow.RunEndEffect;

/** Receives events about runs, for metrics. Called by the thread that runs the duty. */
public interface RunMetricsListener {
    /** A listener that ignores all events. */
    RunMetricsListener NONE = new RunMetricsListener() {};

    /** Called when the end of a run was applied, with or without effect. */
    default void onEndApplied(RunEndSource source, RunEndEffect effect) {}

    /**
     * Called when an end in a worker's list is acknowledged without being proposed.
     *
     * @param effect what it would change, which is why it was not proposed
     */
    default void onUncountedEndAcknowledged(RunEndEffect effect) {}

    /** Called when a start is given up since its worker leaves it unanswered. */
    default void onStartGivenUp() {}

    /** Called once a second for each team above its share of a pool whose capacity is short. */
    default void onTeamAboveShare(TeamName team) {}
}
