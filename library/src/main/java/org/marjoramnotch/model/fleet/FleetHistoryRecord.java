package org.marjoramnotch.model.fleet;

import java.util.List;
import java.util.Objects;

/**
 * The part of a snapshot that contains what a fleet could run at some time.
 *
 * @param kinds the kinds of workers, without those that another one covers
 * @param limits the limits of teams, without those that another one covers
 * @param moves the last moves of queues to other pools; absent in snapshots of earlier releases
 */
public record FleetHistoryRecord(
        List<WorkerKind> kinds, List<TeamLimit> limits, List<QueueMove> moves) {
    /** The history before the first command, and in snapshots of earlier releases. */
    public static final FleetHistoryRecord EMPTY =
            new FleetHistoryRecord(List.of(), List.of(), List.of());

    /** Replaces absent moves in a snapshot of an earlier release by none. */
    public FleetHistoryRecord {
        moves = Objects.requireNonNullElse(moves, List.of());
    }
}
