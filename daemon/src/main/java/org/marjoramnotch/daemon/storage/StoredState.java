package org.marjoramnotch.daemon.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.replication.HardState;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.StorageWrite;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Snapshot;

/** Rebuilds a replica's state from a snapshot and the writes that follow it. */
final class StoredState {
    private final @Nullable Snapshot snapshot;
    private final List<LogEntry> entries = new ArrayList<>();
    private HardState hardState = HardState.empty();

    StoredState(@Nullable Snapshot snapshot) {
        this.snapshot = snapshot;
    }

    void apply(StorageWrite write) {
        if (write instanceof StorageWrite.SaveHardState save) {
            hardState = save.state();
        } else if (write instanceof StorageWrite.AppendLog append) {
            append.entries().forEach(this::append);
        } else if (write instanceof StorageWrite.TruncateLog truncate) {
            long retained = truncate.fromIndex() - 1 - snapshotIndex();
            Invariant.check(
                    retained >= 0 && retained <= entries.size(),
                    "Stored entries are truncated outside of the log");
            entries.subList((int) retained, entries.size()).clear();
        } else {
            Invariant.check(false, "A log file contains a snapshot");
        }
    }

    RecoveredState toRecoveredState() {
        return new RecoveredState(hardState, Optional.ofNullable(snapshot), List.copyOf(entries));
    }

    private void append(LogEntry entry) {
        Invariant.check(
                entry.index() == snapshotIndex() + entries.size() + 1,
                "Stored entry " + entry.index() + " does not follow the previous one");
        entries.add(entry);
    }

    private long snapshotIndex() {
        return snapshot == null ? 0 : snapshot.index();
    }
}
