package org.marjoramnotch.model.workflow;

import java.util.List;

/**
 * Tasks whose starts were sent to one incarnation of a worker and may have been carried out by the
 * next one.
 *
 * @param possible no list of the earlier incarnation shows their runs
 * @param certain an answer of the next incarnation shows their runs
 */
public record NextLifeStarts(List<WorkflowTaskId> possible, List<WorkflowTaskId> certain) {
    /** Creates an immutable value by copying the lists. */
    public NextLifeStarts {
        possible = List.copyOf(possible);
        certain = List.copyOf(certain);
    }
}
