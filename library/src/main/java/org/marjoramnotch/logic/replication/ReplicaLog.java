package org.marjoramnotch.logic.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.Snapshot;

/**
 * The log in memory: its entries, the last snapshot and the memberships that they contain. Every
 * change also adds the storage write that makes it durable.
 */
final class ReplicaLog {
    private static final long MAXIMUM_TRAILING_BYTES = 4 * 1024 * 1024;

    private final EffectBuffer effects;
    private final int trailingEntries;
    private final List<LogEntry> entries;
    private final TreeMap<Long, Membership> memberships = new TreeMap<>();
    private long baseIndex;
    private long baseTerm;
    private Optional<Snapshot> snapshot;

    ReplicaLog(RecoveredState recovered, int trailingEntries, EffectBuffer effects) {
        this.effects = effects;
        this.trailingEntries = trailingEntries;
        this.snapshot = recovered.snapshot();
        this.baseIndex = snapshot.map(Snapshot::index).orElse(0L);
        this.baseTerm = snapshot.map(Snapshot::term).orElse(0L);
        this.entries = new ArrayList<>();
        memberships.put(baseIndex, snapshot.map(Snapshot::membership).orElseGet(Membership::none));
        recovered.entries().forEach(this::add);
    }

    long firstIndex() {
        return baseIndex + 1;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
    }

    Optional<Snapshot> snapshot() {
        return snapshot;
    }

    long snapshotIndex() {
        return snapshot.map(Snapshot::index).orElse(0L);
    }

    /** Returns the term at an index; empty if its entry was compacted or does not exist yet. */
    OptionalLong termAt(long index) {
        if (index == baseIndex) {
            return OptionalLong.of(baseTerm);
        }
        if (index < baseIndex || index > lastIndex()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(entry(index).term());
    }

    LogEntry entry(long index) {
        return entries.get(Math.toIntExact(index - baseIndex - 1));
    }

    /** Returns the latest membership, committed or not. */
    Membership membership() {
        return memberships.lastEntry().getValue();
    }

    /** Returns the membership that was in force at an index that is still in the log. */
    Membership membershipAt(long index) {
        return memberships.floorEntry(index).getValue();
    }

    /** Returns the index of the entry that contains the latest membership. */
    long membershipIndex() {
        return memberships.lastKey();
    }

    /**
     * Returns the entries from an index on, as many as fit into the given size but at least one.
     */
    List<LogEntry> batch(long fromIndex, int maximumBytes) {
        List<LogEntry> batch = new ArrayList<>();
        long bytes = 0;
        for (long index = fromIndex; index <= lastIndex(); index++) {
            LogEntry entry = entry(index);
            bytes += entry.sizeBytes();
            if (!batch.isEmpty() && bytes > maximumBytes) {
                break;
            }
            batch.add(entry);
        }
        return batch;
    }

    void append(LogEntry entry) {
        add(entry);
        effects.append(entry);
    }

    void truncateFrom(long index) {
        Invariant.check(index > baseIndex, "Compacted entries would be removed");
        entries.subList(Math.toIntExact(index - baseIndex - 1), entries.size()).clear();
        memberships.tailMap(index, true).clear();
        effects.write(new StorageWrite.TruncateLog(index));
    }

    /**
     * Replaces the entries up to an index with a snapshot of the state at that index; the last
     * {@code trailingEntries} of them stay in memory for slow followers, or fewer if these are
     * large.
     */
    void compact(long index, byte[] state) {
        saveSnapshot(
                new Snapshot(
                        index,
                        termAt(index).orElseThrow(),
                        memberships.floorEntry(index).getValue(),
                        state));
        discardUpTo(index - retainedBefore(index));
    }

    private long retainedBefore(long index) {
        long most = Math.min(index - baseIndex, trailingEntries);
        long bytes = 0;
        for (long retained = 0; retained < most; retained++) {
            bytes += entry(index - retained).sizeBytes();
            if (bytes > MAXIMUM_TRAILING_BYTES) {
                return retained;
            }
        }
        return most;
    }

    /**
     * Installs a snapshot from the leader; the entries after it stay if the log agrees with the
     * snapshot.
     */
    void installSnapshot(Snapshot received) {
        OptionalLong localTerm = termAt(received.index());
        if (localTerm.isPresent() && localTerm.getAsLong() == received.term()) {
            saveSnapshot(received);
            discardUpTo(received.index());
            return;
        }
        entries.clear();
        memberships.clear();
        memberships.put(received.index(), received.membership());
        baseIndex = received.index();
        baseTerm = received.term();
        saveSnapshot(received);
    }

    private void saveSnapshot(Snapshot newSnapshot) {
        snapshot = Optional.of(newSnapshot);
        int retainedFrom = Math.toIntExact(newSnapshot.index() - baseIndex);
        effects.write(
                new StorageWrite.SaveSnapshot(
                        newSnapshot, List.copyOf(entries.subList(retainedFrom, entries.size()))));
    }

    private void discardUpTo(long newBase) {
        long newBaseTerm = termAt(newBase).orElseThrow();
        Membership atBase = memberships.floorEntry(newBase).getValue();
        entries.subList(0, Math.toIntExact(newBase - baseIndex)).clear();
        memberships.headMap(newBase, true).clear();
        memberships.put(newBase, atBase);
        baseIndex = newBase;
        baseTerm = newBaseTerm;
    }

    private void add(LogEntry entry) {
        Invariant.check(
                entry.index() == lastIndex() + 1,
                "Entry " + entry.index() + " does not follow entry " + lastIndex());
        Invariant.check(entry.term() >= lastTerm(), "The term of log entries decreased");
        entries.add(entry);
        entry.membership().ifPresent(membership -> memberships.put(entry.index(), membership));
    }
}
