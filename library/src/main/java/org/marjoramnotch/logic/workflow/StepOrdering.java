package org.marjoramnotch.logic.workflow;

import java.util.Comparator;

/** Decides which ready step is served first. */
interface StepOrdering {
    /** Returns the order at a time; first is served first. */
    Comparator<ReadyStep> at(long nowMilliseconds);
}
