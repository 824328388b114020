package org.marjoramnotch.logic.workflow;

import java.util.Comparator;

/** Defines which of several workers with enough capacity takes a task. */
interface WorkerPreference {
    /** Returns the comparator for the tasks of a step; the first worker is chosen. */
    Comparator<WorkerCapacity> forStep(ReadyStep step);
}
