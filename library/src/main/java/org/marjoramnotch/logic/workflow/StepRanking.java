package org.marjoramnotch.logic.workflow;

import java.util.List;

/** Ranks ready steps of equal lateness and priority. */
interface StepRanking {
    /** Prepares the ranks of the steps that are ready in a scheduling round. */
    void beginRound(long nowMilliseconds, List<ReadyStep> ready);

    /** Returns the rank of a step; the step with the smallest rank is served first. */
    long rank(ReadyStep step);
}
