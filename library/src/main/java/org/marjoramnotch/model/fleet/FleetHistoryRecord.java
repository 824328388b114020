package org.marjoramnotch.model.fleet;

import java.util.List;

/**
 * The part of a snapshot that contains what a fleet could run at some time.
 *
 * @param kinds the kinds of workers, without those that another one covers
 * @param limits the limits of teams, without those that another one covers
 */
public record FleetHistoryRecord(List<WorkerKind> kinds, List<TeamLimit> limits) {
    /** The history before the first command, and in snapshots of earlier releases. */
    public static final FleetHistoryRecord EMPTY = new FleetHistoryRecord(List.of(), List.of());
}
