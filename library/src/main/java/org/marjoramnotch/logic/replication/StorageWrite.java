package org.marjoramnotch.logic.replication;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Snapshot;

/** A change of a replica's stored state. Each write is atomic, and writes are stored in order. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = StorageWrite.SaveHardState.class, name = "hard-state"),
    @JsonSubTypes.Type(value = StorageWrite.AppendLog.class, name = "append"),
    @JsonSubTypes.Type(value = StorageWrite.TruncateLog.class, name = "truncate"),
    @JsonSubTypes.Type(value = StorageWrite.SaveSnapshot.class, name = "snapshot")
})
public sealed interface StorageWrite {
    /**
     * Replaces term, vote and group.
     *
     * @param state the new values
     */
    record SaveHardState(HardState state) implements StorageWrite {}

    /**
     * Appends entries to the log.
     *
     * @param entries consecutive entries that follow the last stored one
     */
    record AppendLog(List<LogEntry> entries) implements StorageWrite {}

    /**
     * Removes all entries from an index on.
     *
     * @param fromIndex the first index to remove
     */
    record TruncateLog(long fromIndex) implements StorageWrite {}

    /**
     * Replaces the snapshot and all entries up to its index.
     *
     * @param snapshot the new snapshot
     * @param retained the entries that remain in the log after it
     */
    record SaveSnapshot(Snapshot snapshot, List<LogEntry> retained) implements StorageWrite {}
}
