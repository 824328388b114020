package org.marjoramnotch.logic.replication;

import java.util.Arrays;
import org.marjoramnotch.model.replication.Snapshot;

/** The transfer of one snapshot to one member, one chunk at a time. */
final class SnapshotTransfer {
    private final Snapshot snapshot;
    private long offset;
    private boolean awaitsReply;

    SnapshotTransfer(Snapshot snapshot) {
        this.snapshot = snapshot;
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long offset() {
        return offset;
    }

    long totalBytes() {
        return snapshot.state().length;
    }

    boolean awaitsReply() {
        return awaitsReply;
    }

    /** Returns the next chunk; it is sent again if no reply arrives. */
    byte[] nextChunk(int maximumBytes) {
        awaitsReply = true;
        int from = Math.toIntExact(offset);
        int to = Math.toIntExact(Math.min(totalBytes(), offset + maximumBytes));
        return Arrays.copyOfRange(snapshot.state(), from, to);
    }

    void retry() {
        awaitsReply = false;
    }

    /** Continues at the offset that the member requests. */
    void onReply(long nextOffset) {
        if (nextOffset < 0 || nextOffset > totalBytes()) {
            return;
        }
        offset = nextOffset;
        awaitsReply = false;
    }
}
