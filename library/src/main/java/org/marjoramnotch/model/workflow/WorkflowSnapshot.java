package org.marjoramnotch.model.workflow;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.FleetHistoryRecord;
import org.marjoramnotch.model.fleet.FleetWorker;

/**
 * The part of a snapshot that contains configuration, workers and workflows.
 *
 * @param configuration the configuration in force, if there is one
 * @param workers the workers
 * @param workflows the workflows
 * @param history what the fleet could run at some time; absent in snapshots of earlier releases
 * @param configurationProposedEpochMilliseconds when a leader proposed the configuration, in Unix
 *     time; 0 if there is none, and in snapshots of earlier releases
 */
public record WorkflowSnapshot(
        Optional<FleetConfiguration> configuration,
        List<FleetWorker> workers,
        List<WorkflowRecord> workflows,
        FleetHistoryRecord history,
        long configurationProposedEpochMilliseconds) {
    /** The state before the first command. */
    public static final WorkflowSnapshot EMPTY =
            new WorkflowSnapshot(
                    Optional.empty(), List.of(), List.of(), FleetHistoryRecord.EMPTY, 0);

    /** Replaces the absent history in a snapshot of an earlier release by an empty one. */
    public WorkflowSnapshot {
        history = Objects.requireNonNullElse(history, FleetHistoryRecord.EMPTY);
    }
}
