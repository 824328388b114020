package org.marjoramnotch.logic.replication;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.Snapshot;
import org.marjoramnotch.model.replication.SnapshotChunk;

/** Assembles a snapshot from its chunks; a lost chunk is requested again by its offset. */
final class SnapshotAssembler {
    private record Source(ReplicaId leader, long term, long index, long totalBytes) {}

    private @Nullable Source source;
    private byte[] bytes = {};
    private int received;

    /** Adds a chunk and returns the snapshot if it is now complete. */
    Optional<Snapshot> add(ReplicaId leader, SnapshotChunk chunk) {
        Source chunkSource =
                new Source(leader, chunk.term(), chunk.snapshotIndex(), chunk.totalBytes());
        if (!chunkSource.equals(source)) {
            source = chunkSource;
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
