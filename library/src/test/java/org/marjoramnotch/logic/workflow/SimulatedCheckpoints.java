package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.model.workflow.RunOutcome;

/** What the checkpointing tasks of a simulated worker save, and what its stopped runs lose. */
final class SimulatedCheckpoints {
    private long interval;
    private long thrownAway;

    /** Makes tasks save their work at an interval, and resume from what they saved. */
    void saveEvery(long milliseconds) {
        interval = milliseconds;
    }

    long interval() {
        return interval;
    }

    /** Returns the work that a checkpoint saved, in milliseconds. */
    long resumedFrom(String checkpoint) {
        return interval == 0 || checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint);
    }

    void onEnded(SimulatedRun run, RunOutcome outcome) {
        if (outcome == RunOutcome.STOPPED) {
            thrownAway += run.unsavedProcessorMilliseconds();
        }
    }

    /** Returns the core time that stopped runs had not saved, in core-milliseconds. */
    long thrownAway() {
        return thrownAway;
    }
}
