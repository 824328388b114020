package org.marjoramnotch.model.workflow;

import java.util.List;

/**
 * The tasks of an occurrence in a snapshot.
 *
 * @param occurrence the occurrence, from 0
 * @param tasks its tasks by step and index
 */
public record OccurrenceRecord(int occurrence, List<List<TaskRecord>> tasks) {
    /** Creates an immutable record by copying the list. */
    public OccurrenceRecord {
        tasks = List.copyOf(tasks);
    }
}
