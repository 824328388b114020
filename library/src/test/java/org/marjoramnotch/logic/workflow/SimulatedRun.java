package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepDefinition;

/** A run on a simulated worker. */
public final class SimulatedRun {
    final RunId run;
    final StepDefinition step;
    final long startedAt;
    final long endsAt;
    final RunOutcome outcome;
    long stopsAt = Long.MAX_VALUE;

    SimulatedRun(RunId run, StepDefinition step, long startedAt, long endsAt, RunOutcome outcome) {
        this.run = run;
        this.step = step;
        this.startedAt = startedAt;
        this.endsAt = endsAt;
        this.outcome = outcome;
    }

    /** Returns the number and task of the run. */
    public RunId id() {
        return run;
    }
}
