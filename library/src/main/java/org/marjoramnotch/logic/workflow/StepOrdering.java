package org.marjoramnotch.logic.workflow;

import java.util.Comparator;

/** Defines the order in which ready steps are served. */
interface StepOrdering {
    /** Returns the comparator that applies at the given time; the first step is served first. */
    Comparator<ReadyStep> at(long nowMilliseconds);
}
