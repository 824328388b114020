package org.marjoramnotch.model.workflow;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.FleetWorker;

/**
 * The part of a snapshot that contains configuration, workers and workflows.
 *
 * @param configuration the configuration in force, if there is one
 * @param workers the workers
 * @param workflows the workflows
 */
public record WorkflowSnapshot(
        Optional<FleetConfiguration> configuration,
        List<FleetWorker> workers,
        List<WorkflowRecord> workflows) {
    /** The state before the first command. */
    public static final WorkflowSnapshot EMPTY =
            new WorkflowSnapshot(Optional.empty(), List.of(), List.of());
}
