package org.marjoramnotch.logic.replication;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Snapshot;

/**
 * The stored state from which a replica starts.
 *
 * @param hardState term, vote and group
 * @param snapshot the last snapshot
 * @param entries consecutive entries that follow the snapshot
 */
public record RecoveredState(
        HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {
    /** Returns the state of a replica that has stored nothing. */
    public static RecoveredState empty() {
        return new RecoveredState(HardState.empty(), Optional.empty(), List.of());
    }
}
