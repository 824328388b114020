package org.marjoramnotch.daemon.storage;

import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.Snapshot;

/**
 * The header of a snapshot file, which precedes the state.
 *
 * @param index the last index that the state covers
 * @param term the term of the entry at that index
 * @param membership the members at that index
 */
record SnapshotHeader(long index, long term, Membership membership) {
    static SnapshotHeader of(Snapshot snapshot) {
        return new SnapshotHeader(snapshot.index(), snapshot.term(), snapshot.membership());
    }

    Snapshot withState(byte[] state) {
        return new Snapshot(index, term, membership, state);
    }
}
