package org.marjoramnotch.logic.replication;

import java.util.OptionalLong;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.AppendAccepted;
import org.marjoramnotch.model.replication.AppendEntries;
import org.marjoramnotch.model.replication.AppendRejected;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.SnapshotChunk;
import org.marjoramnotch.model.replication.SnapshotChunkReply;

/** Receives entries and snapshots from the leader and adds them to the log. */
final class LogReceiver {
    /**
     * The send time reported for a message of an earlier term, which extends no lease: the message
     * may have been sent before a restart of its sender, and so by another clock.
     */
    private static final long NEVER_SENT = Long.MIN_VALUE / 4;

    private final ReplicaState state;
    private final SnapshotAssembler assembler = new SnapshotAssembler();

    LogReceiver(ReplicaState state) {
        this.state = state;
    }

    void onAppend(ReplicaId from, AppendEntries message) {
        if (message.term() < state.term()) {
            reject(from, message, state.log().lastIndex() + 1, NEVER_SENT);
            return;
        }
        acknowledgeLeader(from, message.group(), message.term());
        if (!matches(message)) {
            reject(from, message, nextIndexHint(message), message.sentAtMilliseconds());
            return;
        }
        message.entries().forEach(this::storeEntry);
        long matchIndex = message.previousIndex() + message.entries().size();
        state.commit(Math.max(state.commitIndex(), Math.min(message.commitIndex(), matchIndex)));
        state.send(
                from, new AppendAccepted(state.term(), matchIndex, message.sentAtMilliseconds()));
    }

    void onSnapshotChunk(ReplicaId from, SnapshotChunk chunk) {
        if (chunk.term() < state.term()) {
            reply(from, chunk, 0, NEVER_SENT);
            return;
        }
        acknowledgeLeader(from, chunk.group(), chunk.term());
        if (chunk.snapshotIndex() <= state.commitIndex()) {
            reply(from, chunk, chunk.totalBytes(), chunk.sentAtMilliseconds());
            return;
        }
        boolean complete =
                assembler
                        .add(from, chunk)
                        .map(
                                snapshot -> {
                                    state.installSnapshot(snapshot);
                                    return true;
                                })
                        .orElse(false);
        long nextOffset = complete ? chunk.totalBytes() : assembler.nextOffset();
        reply(from, chunk, nextOffset, chunk.sentAtMilliseconds());
    }

    private void acknowledgeLeader(ReplicaId from, String group, long term) {
        state.joinGroup(group);
        state.becomeFollower(term, from);
        state.timer().onLeaderContact(state.now());
    }

    /**
     * Returns whether the log agrees with the leader's up to the previous index. Committed entries
     * are the same on every leader, so only later ones are compared.
     */
    private boolean matches(AppendEntries message) {
        return message.previousIndex() <= state.commitIndex()
                || state.log()
                        .termAt(message.previousIndex())
                        .equals(OptionalLong.of(message.previousTerm()));
    }

    private void storeEntry(LogEntry entry) {
        if (entry.index() <= state.commitIndex()) {
            return;
        }
        OptionalLong ownTerm = state.log().termAt(entry.index());
        if (ownTerm.equals(OptionalLong.of(entry.term()))) {
            return;
        }
        if (ownTerm.isPresent()) {
            state.truncateFrom(entry.index());
        }
        state.log().append(entry);
    }

    private long nextIndexHint(AppendEntries message) {
        OptionalLong conflictingTerm = state.log().termAt(message.previousIndex());
        if (conflictingTerm.isEmpty()) {
            return state.log().lastIndex() + 1;
        }
        long first = message.previousIndex();
        while (first - 1 > state.commitIndex()
                && state.log().termAt(first - 1).equals(conflictingTerm)) {
            first--;
        }
        return first;
    }

    private void reject(ReplicaId to, AppendEntries message, long nextIndexHint, long sentAt) {
        state.send(
                to,
                new AppendRejected(state.term(), message.previousIndex(), nextIndexHint, sentAt));
    }

    private void reply(ReplicaId to, SnapshotChunk chunk, long nextOffset, long sentAt) {
        state.send(
                to,
                new SnapshotChunkReply(state.term(), chunk.snapshotIndex(), nextOffset, sentAt));
    }
}
