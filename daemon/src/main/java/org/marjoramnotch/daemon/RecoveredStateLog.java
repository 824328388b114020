package org.marjoramnotch.daemon;

import java.util.List;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Snapshot;

/** Logs the stored state from which a replica starts, before it knows what is committed. */
final class RecoveredStateLog {
    private static final Logger LOGGER = Logger.getLogger(RecoveredStateLog.class);

    private RecoveredStateLog() {}

    static void write(ReplicaId replica, RecoveredState stored) {
        eventOf(replica, stored).info(LOGGER);
    }

    static LogEvent eventOf(ReplicaId replica, RecoveredState stored) {
        List<LogEntry> entries = stored.entries();
        long snapshotIndex = stored.snapshot().map(Snapshot::index).orElse(0L);
        long snapshotTerm = stored.snapshot().map(Snapshot::term).orElse(0L);
        boolean empty = entries.isEmpty();
        return LogEvent.of("replica_recovered")
                .with("replica", replica)
                .with("group", stored.hardState().group().orElse("none"))
                .with("term", stored.hardState().term())
                .with("snapshot_index", snapshotIndex)
                .with("last_index", empty ? snapshotIndex : entries.get(entries.size() - 1).index())
                .with("last_term", empty ? snapshotTerm : entries.get(entries.size() - 1).term());
    }
}
