package org.marjoramnotch.model.workflow;

/**
 * The schedule of a workflow whose steps run several times.
 *
 * @param occurrences how many times the steps run
 * @param firstDueEpochMilliseconds when the first occurrence is due, in Unix time
 * @param intervalMilliseconds time between the due times of consecutive occurrences
 */
public record Recurrence(
        int occurrences, long firstDueEpochMilliseconds, long intervalMilliseconds) {
    /** Returns when an occurrence is due, in Unix time. */
    public long dueEpochMilliseconds(int occurrence) {
        return firstDueEpochMilliseconds + occurrence * intervalMilliseconds;
    }
}
