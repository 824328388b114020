package org.marjoramnotch.logic.replication;

import java.util.List;
import java.util.OptionalLong;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.AppendEntries;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Snapshot;
import org.marjoramnotch.model.replication.SnapshotChunk;
import org.marjoramnotch.model.replication.SnapshotChunkReply;

/** Sends entries, heartbeats and snapshots from a leader to a member. */
final class EntrySender {
    private final ReplicaState state;

    EntrySender(ReplicaState state) {
        this.state = state;
    }

    /**
     * Sends a member the entries that it is missing, or a heartbeat if one is due.
     *
     * @param confirmationDue whether a message is due before the next heartbeat
     */
    void sendDue(ReplicaId member, FollowerProgress progress, boolean confirmationDue) {
        boolean heartbeatDue =
                state.now() - progress.lastSentMilliseconds()
                        >= state.settings().heartbeatIntervalMilliseconds();
        if (heartbeatDue) {
            progress.retryProbe();
            progress.snapshot().ifPresent(SnapshotTransfer::retry);
        }
        startSnapshotIfNeeded(progress);
        if (progress.snapshot().isPresent()) {
            sendSnapshotChunk(member, progress);
            return;
        }
        boolean messageDue = heartbeatDue || confirmationDue;
        while (progress.nextIndex() <= state.log().lastIndex()
                && progress.maySendEntries(state.settings().batchesInFlight())) {
            sendEntries(member, progress);
            messageDue = false;
        }
        if (messageDue) {
            send(member, progress, List.of());
        }
    }

    void onSnapshotReply(FollowerProgress progress, SnapshotChunkReply reply) {
        progress.snapshot()
                .filter(transfer -> transfer.snapshot().index() == reply.snapshotIndex())
                .ifPresent(
                        transfer -> {
                            transfer.onReply(reply.nextOffset());
                            if (reply.nextOffset() == transfer.totalBytes()) {
                                progress.endSnapshot(reply.snapshotIndex());
                            }
                        });
    }

    private void startSnapshotIfNeeded(FollowerProgress progress) {
        boolean behind = state.log().termAt(progress.nextIndex() - 1).isEmpty();
        if (behind && progress.snapshot().isEmpty()) {
            progress.startSnapshot(state.log().snapshot().orElseThrow());
        }
    }

    private void sendSnapshotChunk(ReplicaId member, FollowerProgress progress) {
        SnapshotTransfer transfer = progress.snapshot().orElseThrow();
        if (transfer.awaitsReply()) {
            return;
        }
        Snapshot snapshot = transfer.snapshot();
        long offset = transfer.offset();
        byte[] chunk = transfer.nextChunk(state.settings().snapshotChunkBytes());
        progress.onSent(state.now());
        state.send(
                member,
                new SnapshotChunk(
                        state.group(),
                        state.term(),
                        snapshot.index(),
                        snapshot.term(),
                        snapshot.membership(),
                        offset,
                        transfer.totalBytes(),
                        chunk,
                        state.now()));
    }

    private void sendEntries(ReplicaId member, FollowerProgress progress) {
        List<LogEntry> batch =
                state.log().batch(progress.nextIndex(), state.settings().batchBytes());
        send(member, progress, batch);
        progress.onEntriesSent(batch.get(batch.size() - 1).index());
    }

    private void send(ReplicaId member, FollowerProgress progress, List<LogEntry> entries) {
        long previousIndex = progress.nextIndex() - 1;
        OptionalLong previousTerm = state.log().termAt(previousIndex);
        progress.onSent(state.now());
        state.send(
                member,
                new AppendEntries(
                        state.group(),
                        state.term(),
                        previousIndex,
                        previousTerm.orElseThrow(),
                        entries,
                        state.commitIndex(),
                        state.now()));
    }
}
