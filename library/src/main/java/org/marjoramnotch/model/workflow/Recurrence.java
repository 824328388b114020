package org.marjoramnotch.model.workflow;

/**
 * The times at which the steps of a workflow run.
 *
 * @param occurrences how many times
 * @param firstDueEpochMilliseconds when the first occurrence is due, since 1970
 * @param intervalMilliseconds from one occurrence to the next
 */
public record Recurrence(
        int occurrences, long firstDueEpochMilliseconds, long intervalMilliseconds) {
    /** Returns when an occurrence is due, since 1970. */
    public long dueEpochMilliseconds(int occurrence) {
        return firstDueEpochMilliseconds + occurrence * intervalMilliseconds;
    }
}
