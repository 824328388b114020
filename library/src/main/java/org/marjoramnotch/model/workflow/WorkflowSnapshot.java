package org.marjoramnotch.model.workflow;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.marjoramnotch.model.fleet.EvacuationRecord;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.FleetHistoryRecord;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.InheritedLease;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;

/**
 * The part of a snapshot that contains configuration, workers and workflows.
 *
 * @param configuration the configuration in force, if there is one
 * @param workers the workers
 * @param workflows the workflows
 * @param history what the fleet could run at some time; absent in snapshots of earlier releases
 * @param configurationProposedEpochMilliseconds when a leader proposed the configuration, in Unix
 *     time; 0 if there is none, and in snapshots of earlier releases
 * @param followers incarnations that follow others under their names and may hold inherited leases;
 *     absent in snapshots of earlier releases
 * @param inheritedLeases what is known of these leases; absent in snapshots of earlier releases
 * @param dismissedWorkers names of the workers dismissed last whose next life may get an inherited
 *     lease, oldest first; absent in snapshots of earlier releases
 * @param evacuations the evacuations of availability zones; absent in snapshots of earlier releases
 * @param heldLimits how much state each replica can hold; absent in snapshots of earlier releases
 */
public record WorkflowSnapshot(
        Optional<FleetConfiguration> configuration,
        List<FleetWorker> workers,
        List<WorkflowRecord> workflows,
        FleetHistoryRecord history,
        long configurationProposedEpochMilliseconds,
        List<WorkerIncarnation> followers,
        List<InheritedLease> inheritedLeases,
        List<WorkerId> dismissedWorkers,
        EvacuationRecord evacuations,
        List<HeldLimit> heldLimits) {
    /** The state before the first command. */
    public static final WorkflowSnapshot EMPTY =
            new WorkflowSnapshot(
                    Optional.empty(),
                    List.of(),
                    List.of(),
                    FleetHistoryRecord.EMPTY,
                    0,
                    List.of(),
                    List.of(),
                    List.of(),
                    EvacuationRecord.EMPTY,
                    List.of());

    /** Replaces what is absent in a snapshot of an earlier release by empty values. */
    public WorkflowSnapshot {
        history = Objects.requireNonNullElse(history, FleetHistoryRecord.EMPTY);
        followers = Objects.requireNonNullElse(followers, List.of());
        inheritedLeases = Objects.requireNonNullElse(inheritedLeases, List.of());
        dismissedWorkers = Objects.requireNonNullElse(dismissedWorkers, List.of());
        evacuations = Objects.requireNonNullElse(evacuations, EvacuationRecord.EMPTY);
        heldLimits = Objects.requireNonNullElse(heldLimits, List.of());
    }
}
