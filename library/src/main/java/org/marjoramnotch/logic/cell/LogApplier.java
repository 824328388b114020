package org.marjoramnotch.logic.cell;

import java.util.ArrayDeque;
import java.util.Deque;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.replication.ReplicatedLog;
import org.marjoramnotch.logic.replication.ReplicationEffects;
import org.marjoramnotch.logic.replication.ReplicationEffects.CommittedEntry;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;

/**
 * Applies committed entries to the ledger, while this replica makes no decisions a limited number
 * in each batch. After a restart the whole log is committed at once; a leader that applied it in
 * one batch would lose its lease, and each of its successors in turn.
 */
final class LogApplier {
    /**
     * Keeps a batch well below the leader lease, also while the process still interprets its code
     * after a start.
     */
    private static final int MAXIMUM_ENTRIES_PER_BATCH = 32;

    /** Handles an applied entry. */
    interface Listener {
        void onApplied(Command command, CommandResult result);
    }

    private final PayloadCodec codec;
    private final CompactionSchedule compaction;
    private final PendingProposals proposals;
    private final Deque<CommittedEntry> unapplied = new ArrayDeque<>();
    private Ledger ledger = new Ledger();
    private long appliedIndex;
    private long restoredIndex;
    private int remainingInBatch = MAXIMUM_ENTRIES_PER_BATCH;

    LogApplier(PayloadCodec codec, CompactionSchedule compaction, PendingProposals proposals) {
        this.codec = codec;
        this.compaction = compaction;
        this.proposals = proposals;
    }

    Ledger ledger() {
        return ledger;
    }

    /** Returns the index of the last applied entry. */
    long appliedIndex() {
        return appliedIndex;
    }

    /** Returns which entries and versions are applied. */
    AppliedState appliedState() {
        return AppliedState.of(ledger, appliedIndex, restoredIndex);
    }

    /** Returns whether committed entries wait for the next batch. */
    boolean hasUnapplied() {
        return !unapplied.isEmpty();
    }

    /** Allows the next entries to be applied. */
    void beginBatch() {
        remainingInBatch = MAXIMUM_ENTRIES_PER_BATCH;
    }

    /** Takes over a restored state and committed entries. */
    void add(ReplicationEffects effects) {
        effects.restored().ifPresent(this::restore);
        unapplied.addAll(effects.committed());
    }

    /**
     * Applies entries.
     *
     * @param all whether to exceed the limit of the batch, as a leader does that makes decisions:
     *     its entries are bounded by its inputs, and it decides on the applied state
     */
    void apply(boolean all, Listener listener) {
        while ((all || remainingInBatch > 0) && !unapplied.isEmpty()) {
            remainingInBatch--;
            CommittedEntry entry = unapplied.remove();
            Command command = proposals.take(entry).orElseGet(() -> codec.decode(entry.payload()));
            CommandResult result = ledger.apply(command);
            appliedIndex = entry.index();
            compaction.onApplied(entry.payload().length);
            listener.onApplied(command, result);
        }
    }

    /**
     * Replaces the applied part of the log with a snapshot if it has become large. This takes long,
     * so that it waits until the log is applied.
     */
    void compactIfDue(ReplicatedLog log) {
        if (unapplied.isEmpty() && compaction.isDue(appliedIndex)) {
            log.compact(appliedIndex, codec.encodeSnapshot(ledger.snapshot()));
            compaction.onSnapshot(appliedIndex);
        }
    }

    private void restore(ReplicationEffects.RestoredState restored) {
        unapplied.clear();
        ledger = Ledger.restore(codec.decodeSnapshot(restored.state()));
        appliedIndex = restored.index();
        restoredIndex = restored.index();
        compaction.onSnapshot(restored.index());
    }
}
