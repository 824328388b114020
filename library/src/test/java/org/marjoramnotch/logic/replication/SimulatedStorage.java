package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.Snapshot;

/** Keeps the synced state of one simulated replica in memory. */
public final class SimulatedStorage implements ReplicaStorage {
    private HardState hardState = HardState.empty();
    private Optional<Snapshot> snapshot = Optional.empty();
    private List<LogEntry> entries = new ArrayList<>();

    @Override
    public RecoveredState recover() {
        return new RecoveredState(hardState, snapshot, List.copyOf(entries));
    }

    @Override
    public void persist(List<StorageWrite> writes) {
        writes.forEach(this::apply);
    }

    HardState hardState() {
        return hardState;
    }

    long lastIndex() {
        return entries.isEmpty() ? snapshotIndex() : entries.get(entries.size() - 1).index();
    }

    /** Returns the term at an index after the snapshot; empty if it is not in the log. */
    OptionalLong termAt(long index) {
        return entries.stream()
                .skip(entries.isEmpty() ? 0 : Math.max(0, index - entries.get(0).index()))
                .limit(1)
                .filter(entry -> entry.index() == index)
                .mapToLong(LogEntry::term)
                .findFirst();
    }

    boolean contains(long index, long term) {
        return index <= snapshotIndex() || termAt(index).equals(OptionalLong.of(term));
    }

    Membership membershipAt(long index) {
        return entries.stream()
                .filter(entry -> entry.index() <= index)
                .flatMap(entry -> entry.membership().stream())
                .reduce((earlier, later) -> later)
                .or(() -> snapshot.map(Snapshot::membership))
                .orElseGet(Membership::none);
    }

    private long snapshotIndex() {
        return snapshot.map(Snapshot::index).orElse(0L);
    }

    private void apply(StorageWrite write) {
        if (write instanceof StorageWrite.SaveHardState save) {
            hardState = save.state();
        } else if (write instanceof StorageWrite.AppendLog append) {
            assertThat(append.entries().get(0).index()).isEqualTo(lastIndex() + 1);
            entries.addAll(append.entries());
        } else if (write instanceof StorageWrite.TruncateLog truncate) {
            entries.removeIf(entry -> entry.index() >= truncate.fromIndex());
        } else if (write instanceof StorageWrite.SaveSnapshot save) {
            snapshot = Optional.of(save.snapshot());
            entries = new ArrayList<>(save.retained());
        }
    }
}
