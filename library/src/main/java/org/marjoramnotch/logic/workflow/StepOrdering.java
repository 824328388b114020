package org.marjoramnotch.logic.workflow;

import java.util.List;

/** Defines the order in which ready steps are served. */
interface StepOrdering {
    /** Sorts the steps that are ready in a scheduling round; the first one is served first. */
    void sort(long nowMilliseconds, List<ReadyStep> ready);
}
