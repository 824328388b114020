package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepDefinition;

/** A run on a simulated worker. */
public final class SimulatedRun {
    private static final int COMPLETE_PERCENT = 100;

    final RunId run;
    final StepDefinition step;
    final long startedAt;
    final long endsAt;
    final RunOutcome outcome;
    private final long resumed;
    private final long saveInterval;
    long stopsAt = Long.MAX_VALUE;
    long seenAt;

    /**
     * Creates a run.
     *
     * @param resumed how much work, in milliseconds, it resumes from a checkpoint
     * @param saveInterval interval at which it saves its work; 0 for a checkpoint without work
     */
    SimulatedRun(
            RunId run,
            StepDefinition step,
            long startedAt,
            long resumed,
            long saveInterval,
            long endsAt,
            RunOutcome outcome) {
        this.run = run;
        this.step = step;
        this.startedAt = startedAt;
        this.seenAt = startedAt;
        this.resumed = resumed;
        this.saveInterval = saveInterval;
        this.endsAt = endsAt;
        this.outcome = outcome;
    }

    /** Returns the number and task of the run. */
    public RunId id() {
        return run;
    }

    RunStatus status(long now) {
        seenAt = now;
        long duration = Math.max(1, endsAt - startedAt);
        int percent =
                step.standing()
                        ? COMPLETE_PERCENT
                        : (int) (COMPLETE_PERCENT * (now - startedAt) / duration);
        return new RunStatus(run, checkpoint(), percent, -1);
    }

    String checkpoint() {
        if (!step.checkpointing()) {
            return "";
        }
        if (saveInterval == 0) {
            return "saved-" + run;
        }
        return saved() == 0 ? "" : String.valueOf(saved());
    }

    /** Returns the core time that would be lost now, in core-milliseconds. */
    long unsavedProcessorMilliseconds() {
        long unsaved = resumed + seenAt - startedAt - (step.checkpointing() ? saved() : resumed);
        return unsaved * step.reserved().processorMillis() / 1_000;
    }

    private long saved() {
        long work = resumed + seenAt - startedAt;
        return saveInterval == 0 ? resumed : work / saveInterval * saveInterval;
    }
}
