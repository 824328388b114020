package org.marjoramnotch.model.workflow;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.identifier.ServiceName;

/**
 * A workflow in a snapshot.
 *
 * @param workflow the workflow; without payload and steps once it has ended and none of its runs is
 *     left
 * @param queue the last known definition of its queue
 * @param state the state of the workflow
 * @param tasks all its tasks by occurrence, step and index, as in snapshots of earlier releases;
 *     empty in those of this release
 * @param formerPools the other pools that its queue was sent to since its acceptance, oldest first;
 *     absent in snapshots of earlier releases
 * @param failure why it was given up, if it was; absent in snapshots of earlier releases
 * @param startedOccurrences the occurrences of which a task has been started and not all tasks are
 *     done; absent in snapshots of earlier releases
 * @param doneOccurrences the occurrences of which all tasks are done, as a bit set of 64 in each
 *     number, lowest first; absent in snapshots of earlier releases
 */
public record WorkflowRecord(
        Workflow workflow,
        QueueDefinition queue,
        WorkflowState state,
        List<List<List<TaskRecord>>> tasks,
        List<ServiceName> formerPools,
        Optional<String> failure,
        List<OccurrenceRecord> startedOccurrences,
        List<Long> doneOccurrences) {
    /** Replaces what is absent in a snapshot of an earlier release by empty values. */
    public WorkflowRecord {
        formerPools = Objects.requireNonNullElse(formerPools, List.of());
        failure = Objects.requireNonNullElse(failure, Optional.empty());
        tasks = Objects.requireNonNullElse(tasks, List.of());
        startedOccurrences = Objects.requireNonNullElse(startedOccurrences, List.of());
        doneOccurrences = Objects.requireNonNullElse(doneOccurrences, List.of());
    }
}
