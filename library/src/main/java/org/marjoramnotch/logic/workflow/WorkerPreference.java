package org.marjoramnotch.logic.workflow;

import java.util.Comparator;

/** Decides which of several workers with room takes a task. */
interface WorkerPreference {
    /** Returns the order for a step; the first worker is taken. */
    Comparator<WorkerCapacity> forStep(ReadyStep step);
}
