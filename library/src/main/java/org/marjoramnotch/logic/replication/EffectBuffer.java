package org.marjoramnotch.logic.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramnotch.logic.replication.ReplicationEffects.CommittedEntry;
import org.marjoramnotch.logic.replication.ReplicationEffects.Outgoing;
import org.marjoramnotch.logic.replication.ReplicationEffects.RestoredState;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.ReplicationMessage;

/** Collects the effects of a replica until the host takes them. */
final class EffectBuffer {
    private List<StorageWrite> writes = new ArrayList<>();
    private List<Outgoing> messages = new ArrayList<>();
    private Optional<RestoredState> restored = Optional.empty();
    private List<CommittedEntry> committed = new ArrayList<>();
    private List<LogEntry> appended = new ArrayList<>();
    private long lastCommitted;

    /** Appends an entry. Consecutive entries are combined into one write. */
    void append(LogEntry entry) {
        appended.add(entry);
    }

    void write(StorageWrite write) {
        closeAppend();
        writes.add(write);
    }

    void send(ReplicaId to, ReplicationMessage message) {
        messages.add(new Outgoing(to, message));
    }

    void restore(long index, byte[] state) {
        Invariant.check(index >= lastCommitted, "A snapshot would replace a later applied state");
        committed.clear();
        restored = Optional.of(new RestoredState(index, state));
        lastCommitted = index;
    }

    void commit(LogEntry entry) {
        Invariant.check(entry.index() > lastCommitted, "An entry would be committed a second time");
        lastCommitted = entry.index();
        committed.add(new CommittedEntry(entry.index(), entry.term(), entry.payload()));
    }

    ReplicationEffects take() {
        closeAppend();
        ReplicationEffects taken = new ReplicationEffects(writes, messages, restored, committed);
        writes = new ArrayList<>();
        messages = new ArrayList<>();
        restored = Optional.empty();
        committed = new ArrayList<>();
        return taken;
    }

    private void closeAppend() {
        if (appended.isEmpty()) {
            return;
        }
        writes.add(new StorageWrite.AppendLog(appended));
        appended = new ArrayList<>();
    }
}
