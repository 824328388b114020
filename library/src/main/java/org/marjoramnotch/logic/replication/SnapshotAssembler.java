package org.marjoramnotch.logic.replication;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.Snapshot;
import org.marjoramnotch.model.replication.SnapshotChunk;

/** Puts the parts of a snapshot together; a lost part is asked for again by its offset. */
final class SnapshotAssembler {
    private record Source(ReplicaId leader, long term, long index, long totalBytes) {}

    private @Nullable Source source;
    private byte[] bytes = {};
    private int received;

    /** Takes a part and returns the snapshot if it was the last one missing. */
    Optional<Snapshot> add(ReplicaId leader, SnapshotChunk chunk) {
        Source sender = new Source(leader, chunk.term(), chunk.snapshotIndex(), chunk.totalBytes());
        if (!sender.equals(source)) {
            source = sender;
            bytes = new byte[Math.toIntExact(chunk.totalBytes())];
            received = 0;
        }
        if (chunk.offset() == received) {
            System.arraycopy(chunk.data(), 0, bytes, received, chunk.data().length);
            received += chunk.data().length;
        }
        if (received < bytes.length) {
            return Optional.empty();
        }
        Snapshot complete =
                new Snapshot(
                        chunk.snapshotIndex(), chunk.snapshotTerm(), chunk.membership(), bytes);
        reset();
        return Optional.of(complete);
    }

    /** Returns the offset of the first byte that is missing. */
    long nextOffset() {
        return received;
    }

    void reset() {
        source = null;
        bytes = new byte[0];
        received = 0;
    }
}
